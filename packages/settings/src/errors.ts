import ModernError from "modern-errors";

/** Thrown if a setting is unknown or its value is invalid. */
export const BadSettingError = ModernError.subclass("BadSettingError");
