/**
 * Organisations that send requests, found by the digests of their API keys.
 * Performs no I/O.
 *
 * @module
 */
export {
  InvalidOrganisationsError,
  type Organisation,
  type OrganisationEntry,
  OrganisationIndex,
  type Quota,
} from "./organisation_index.ts";
export { shortKeyDigest } from "./key_digest.ts";
