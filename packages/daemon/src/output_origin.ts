/** Software that an engine runs, as far as its load reports tell. */
export interface EngineSoftware {
  name: string;
  /** Whether it can continue output that another engine began. */
  canResume: boolean;
  /** Undefined if the engine does not report it. */
  softwareVersion: string | undefined;
}

/** Software that wrote the output that a caller has so far. */
export type OutputOrigin = Pick<EngineSoftware, "softwareVersion">;

/**
 * Returns the names of the engines that must not continue a caller's output.
 * The output of different software does not fit together.
 */
export function listUnableToContinue(
  engines: readonly EngineSoftware[],
  origin: OutputOrigin,
): string[] {
  const { softwareVersion } = origin;
  return engines
    .filter((it) =>
      !it.canResume || softwareVersion === undefined ||
      it.softwareVersion !== softwareVersion
    )
    .map((it) => it.name);
}
