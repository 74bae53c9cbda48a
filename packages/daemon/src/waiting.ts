/**
 * Waiting in time.
 *
 * @module
 */
const POLL_MS = 20;

/** Waits for a duration in milliseconds. */
export function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Waits until a condition holds, or the time in milliseconds is over. */
export async function until(
  condition: () => boolean,
  limitMs: number,
): Promise<void> {
  for (let waited = 0; waited < limitMs && !condition(); waited += POLL_MS) {
    await wait(POLL_MS);
  }
}
