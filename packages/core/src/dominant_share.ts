/**
 * Dominant share, after "Dominant Resource Fairness" (Ghodsi et al., NSDI 2011).
 *
 * @module
 */

/** Amounts by resource. */
type Amounts<R extends string> = Readonly<Record<R, number>>;

/** Largest fraction that is held of a whole, over all resources. */
export function dominantShare<R extends string>(
  held: Amounts<R>,
  whole: Amounts<R>,
): number {
  let largest = 0;
  for (const resource in whole) {
    largest = Math.max(largest, ratio(held[resource], whole[resource]));
  }
  return largest;
}

function ratio(part: number, whole: number): number {
  return part === 0 ? 0 : part / whole;
}
