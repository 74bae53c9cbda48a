/**
 * Delays and polling.
 *
 * @module
 */
const POLL_INTERVAL_MS = 20;

/** Waits for a duration in milliseconds. */
export function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Waits until a condition holds, but for at most the given time in milliseconds. */
export async function waitUntil(
  condition: () => boolean,
  timeoutMs: number,
): Promise<void> {
  for (
    let waited = 0;
    waited < timeoutMs && !condition();
    waited += POLL_INTERVAL_MS
  ) {
    await wait(POLL_INTERVAL_MS);
  }
}
