/**
 * Ejection of targets that fail what they start, bounded so that the rest can carry the load.
 *
 * @module
 */
import type { ServiceState, TargetState } from "./service_state.ts";

/** Most targets of a service, as a divisor, that may be ejected whatever the load. */
const MAX_EJECTED_DIVISOR = 3;

/** Room that the remaining slots must have above the load. */
const SPARE_FACTOR = 1.2;

/** Ejects a target whose recent attempts call for it, if the service can do without it. */
export function ejectIfSpared(
  service: ServiceState,
  target: TargetState,
  now: number,
): boolean {
  const { verdict } = target.health;
  if (verdict === "keep") {
    return false;
  }
  const rest = carriers(service).filter((other) => other !== target);
  if (rest.length === 0 || allFailing(rest, target)) {
    return false;
  }
  const slots = rest.reduce((sum, other) => sum + other.allowance, 0);
  const carried = slots >= SPARE_FACTOR * service.liveNeed(now);
  const total = service.targets.size;
  const most = Math.max(1, Math.floor(total / MAX_EJECTED_DIVISOR));
  const few = total - rest.length <= most;
  const spared = verdict === "failing" ? carried || few : carried;
  if (spared) {
    target.health.eject(now);
  }
  return spared;
}

function carriers(service: ServiceState): TargetState[] {
  return [...service.targets.values()].filter((target) =>
    target.route.state === "serving" && target.health.carries
  );
}

/** Whether the others fail as well, so that the cause is the requests or something shared. */
function allFailing(
  rest: readonly TargetState[],
  target: TargetState,
): boolean {
  const shares = rest.map((other) => other.health.failureShare);
  const lowest = Math.min(...shares);
  return lowest > target.health.failureShare / 2;
}
