/**
 * Bounds on waiting.
 *
 * @module
 */

/** Waits for a promise, but no longer than the limit in milliseconds; undefined when the limit came first. */
export async function within<T>(
  limitMs: number,
  promise: Promise<T>,
): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), Math.max(0, limitMs));
  });
  const first = await Promise.race([promise, limit]);
  clearTimeout(timer);
  return first;
}
