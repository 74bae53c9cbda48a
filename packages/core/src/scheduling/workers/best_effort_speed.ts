/**
 * Speed limit of best-effort tasks that share a worker with latency-sensitive tasks.
 *
 * How much best-effort work raises tail latency is unknown in advance. The speed is therefore halved when a tail
 * latency comes near its target and raised slowly while all are well below (additive increase, multiplicative
 * decrease; Chiu and Jain, 1989).
 *
 * @module
 */

/** Share of the target latency above which the speed is halved. */
const DECREASE_ABOVE_SHARE = 0.85;

/** Share of the target latency below which the speed is raised. */
const INCREASE_BELOW_SHARE = 0.7;

const INCREASE_PERCENT = 10;
const FULL_PERCENT = 100;

/** Tail latency of a latency-sensitive task and its target. */
export interface TailLatency {
  tailMs: number;
  targetMs: number;
}

/** Next speed of best-effort tasks, in percent of full speed; 0 while a tail latency exceeds its target. */
export function nextSpeedPercent(
  percent: number,
  tails: readonly TailLatency[],
): number {
  const worst = Math.max(
    0,
    ...tails.map(({ tailMs, targetMs }) => tailMs / targetMs),
  );
  if (worst > 1) {
    return 0;
  }
  if (worst > DECREASE_ABOVE_SHARE) {
    return Math.floor(percent / 2);
  }
  return worst < INCREASE_BELOW_SHARE
    ? Math.min(FULL_PERCENT, percent + INCREASE_PERCENT)
    : percent;
}
