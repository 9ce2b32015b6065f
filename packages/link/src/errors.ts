import ModernError from "modern-errors";

/** A request over a link that got no result: lost, timed out or refused. */
export const LinkError = ModernError.subclass("LinkError");
export type LinkError = InstanceType<typeof LinkError>;
