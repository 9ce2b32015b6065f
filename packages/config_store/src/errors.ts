import type { Verdict } from "@toucantrestle/verdict";
import ModernError from "modern-errors";

/**
 * A call to the platform's key-value service failed. The verdict states whether
 * a write may have taken effect.
 */
export const StoreError = ModernError.subclass("StoreError", {
  props: { verdict: "may_have_run" as Verdict },
});
export type StoreError = InstanceType<typeof StoreError>;
