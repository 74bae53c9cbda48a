/**
 * How fast tasks that fill may work beside tasks that serve.
 *
 * Answers the pattern of background work that disturbs latency by amounts that nobody knows in advance: the share is
 * halved when a tail comes near its target and raised slowly while it is well below (additive increase, multiplicative
 * decrease; Chiu and Jain, 1989).
 *
 * @module
 */

/** Share of the target above which the tail is too near. */
const NEAR_SHARE = 0.85;

/** Share of the target below which there is room to work faster. */
const CALM_SHARE = 0.7;

const INCREASE_PERCENT = 10;
const FULL_PERCENT = 100;

/** A task that serves, with its bound. */
export interface ServingTail {
  tailMs: number;
  targetMs: number;
}

/** The next share of full speed for tasks that fill, in percent. */
export function nextPace(
  percent: number,
  tails: readonly ServingTail[],
): number {
  const worst = Math.max(
    0,
    ...tails.map(({ tailMs, targetMs }) => tailMs / targetMs),
  );
  if (worst > 1) {
    return 0;
  }
  if (worst > NEAR_SHARE) {
    return Math.floor(percent / 2);
  }
  return worst < CALM_SHARE
    ? Math.min(FULL_PERCENT, percent + INCREASE_PERCENT)
    : percent;
}
