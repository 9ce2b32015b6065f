/** Role of a key, which determines the routes it may use. */
export type Role = "caller" | "operator" | "sibling";

/** Authenticated owner of a key. */
export interface Principal {
  name: string;
  role: Role;
}
