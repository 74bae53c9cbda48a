/**
 * Timeouts of promises.
 *
 * @module
 */

/** Waits for a promise for at most the timeout, in milliseconds; undefined if the timeout has passed. */
export async function withTimeout<T>(
  timeoutMs: number,
  promise: Promise<T>,
): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), Math.max(0, timeoutMs));
  });
  const result = await Promise.race([promise, timeout]);
  clearTimeout(timer);
  return result;
}
