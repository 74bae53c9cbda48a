/**
 * Ejection of targets that fail what they start, bounded so that the rest can carry the load.
 *
 * @module
 */
import type { ServiceState, TargetState } from "./service_state.ts";

/** Most targets of a service, as a divisor, that may be ejected whatever the load. */
const MAX_EJECTED_DIVISOR = 3;

/** Room that the remaining slots must have above the load. */
const MIN_CAPACITY_FACTOR = 1.2;

/** Ejects a target whose recent attempts call for it, if the service can do without it. */
export function ejectIfCapacityAllows(
  service: ServiceState,
  target: TargetState,
  now: number,
): boolean {
  const { verdict } = target.health;
  if (verdict === "keep") {
    return false;
  }
  const others = targetsInRotation(service).filter((other) => other !== target);
  if (others.length === 0 || areAllFailing(others, target)) {
    return false;
  }
  const slots = others.reduce((sum, other) => sum + other.allowance, 0);
  const hasCapacity = slots >= MIN_CAPACITY_FACTOR * service.liveNeed(now);
  const total = service.targets.size;
  const maxEjected = Math.max(1, Math.floor(total / MAX_EJECTED_DIVISOR));
  const isWithinLimit = total - others.length <= maxEjected;
  const mayEject = verdict === "failing"
    ? hasCapacity || isWithinLimit
    : hasCapacity;
  if (mayEject) {
    target.health.eject(now);
  }
  return mayEject;
}

function targetsInRotation(service: ServiceState): TargetState[] {
  return [...service.targets.values()].filter((target) =>
    target.route.state === "serving" && target.health.isInRotation
  );
}

/** Whether the others fail as well, so that the cause is the requests or something shared. */
function areAllFailing(
  rest: readonly TargetState[],
  target: TargetState,
): boolean {
  const shares = rest.map((other) => other.health.failureShare);
  const lowest = Math.min(...shares);
  return lowest > target.health.failureShare / 2;
}
