/** Turns of the event loop: the rest of the present one, and a whole one. */
const TURNS = 2;

/**
 * Resolves once all that has arrived is accepted and read. A process that was
 * held up runs its timers before that, so that a timeout may pass although what
 * it awaits is there.
 */
export async function readArrived(): Promise<void> {
  for (let i = 0; i < TURNS; i++) {
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
}
