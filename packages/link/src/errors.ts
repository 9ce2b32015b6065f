import ModernError from "modern-errors";

/**
 * A request over a link failed: the link was down or was lost, the request
 * timed out, or the remote handler returned an error.
 */
export const LinkError = ModernError.subclass("LinkError");
export type LinkError = InstanceType<typeof LinkError>;
