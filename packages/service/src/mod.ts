/**
 * Client of a service upstream.
 *
 * @module
 */
export {
  type ServiceAnswer,
  type ServiceCall,
  ServiceClient,
} from "./service_client.ts";
