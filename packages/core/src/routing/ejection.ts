/**
 * Ejection of failing targets (outlier detection), limited so that the remaining targets can carry the load.
 *
 * @module
 */
import type { ServiceState, TargetState } from "./service_state.ts";

/** Divisor of the number of targets that may be ejected regardless of the load; at least one may be. */
const MAX_EJECTED_DIVISOR = 3;

/** Required ratio of the remaining slots to the load. */
const MIN_CAPACITY_FACTOR = 1.2;

/** Ejects a target with too many recent failures if the others can carry the load. Returns whether it was ejected. */
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

/** Whether the others fail as well, which points to the requests or a shared dependency as the cause. */
function areAllFailing(
  others: readonly TargetState[],
  target: TargetState,
): boolean {
  const shares = others.map((other) => other.health.failureShare);
  const lowest = Math.min(...shares);
  return lowest > target.health.failureShare / 2;
}
