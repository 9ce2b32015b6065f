import ModernError from "modern-errors";

/** A setting is unknown or out of its bounds. */
export const BadSettingError = ModernError.subclass("BadSettingError");
