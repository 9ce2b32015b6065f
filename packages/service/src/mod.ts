/**
 * Client of a service upstream.
 *
 * @module
 */
export {
  type ServiceCall,
  ServiceClient,
  type ServiceResponse,
} from "./service_client.ts";
