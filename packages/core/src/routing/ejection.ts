/**
 * Ejection of targets that fail what they start, bounded so that the rest can carry the load.
 *
 * @module
 */
import type { Held, Pool } from "./pool.ts";

/** Most targets of a service, as a divisor, that may be ejected whatever the load. */
const MAX_EJECTED_DIVISOR = 3;

/** Room that the remaining slots must have above the load. */
const SPARE_FACTOR = 1.2;

/** Ejects a target whose recent attempts call for it, if the service can do without it. */
export function ejectIfSpared(pool: Pool, held: Held, now: number): boolean {
  const { verdict } = held.health;
  if (verdict === "keep") {
    return false;
  }
  const rest = carriers(pool).filter((other) => other !== held);
  if (rest.length === 0 || allFailing(rest, held)) {
    return false;
  }
  const slots = rest.reduce((sum, other) => sum + other.allowance, 0);
  const carried = slots >= SPARE_FACTOR * pool.liveNeed(now);
  const total = pool.held.size;
  const most = Math.max(1, Math.floor(total / MAX_EJECTED_DIVISOR));
  const few = total - rest.length <= most;
  const spared = verdict === "failing" ? carried || few : carried;
  if (spared) {
    held.health.eject(now);
  }
  return spared;
}

function carriers(pool: Pool): Held[] {
  return [...pool.held.values()].filter((held) =>
    held.route.state === "serving" && held.health.carries
  );
}

/** Whether the others fail as well, so that the cause is the requests or something shared. */
function allFailing(rest: readonly Held[], held: Held): boolean {
  const shares = rest.map((other) => other.health.failureShare);
  const lowest = Math.min(...shares);
  return lowest > held.health.failureShare / 2;
}
