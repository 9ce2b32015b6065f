/** What a key allows. */
export type Role = "caller" | "operator" | "sibling";

/** Whom a key belongs to. */
export interface Principal {
  name: string;
  role: Role;
}
