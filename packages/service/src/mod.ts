/**
 * Client of a plain service upstream.
 *
 * @module
 */
export {
  type ServiceAnswer,
  type ServiceCall,
  ServiceClient,
} from "./service_client.ts";
