/**
 * Turns of the waiting steps in a placement pass, and why tasks of them keep waiting.
 *
 * Without customers the steps go in the order of their urgency. With customers, among steps of equal urgency those of
 * customers below their entitlement go first, as far as the entitlement goes; what is deferred follows in the same
 * order, so that no capacity stays unused.
 *
 * @module
 */
import type { CustomerLimits } from "./customer_limits.ts";
import type { CustomerShares } from "./customer_shares.ts";
import type { WaitingStep } from "./job_record.ts";
import { hasEqualUrgency, type RankedStep } from "./urgency.ts";

/** Tasks of a step that may be placed: `count` of its waiting ones after the first `from`. */
export interface TaskRange {
  from: number;
  count: number;
}

/** Places tasks of a step and returns the number of those placed. */
export type PlaceTasks = (step: WaitingStep, range: TaskRange) => number;

/**
 * Why tasks wait: the cap of their customer, its share of a full pool, or no worker that can take them, be it for lack
 * of free resources or for another restriction on workers.
 */
export type WaitReason = "cap" | "share" | "capacity";

/** Tasks of a step that keep waiting after a pass. */
export interface StepWait {
  step: WaitingStep;
  /** Reason of the first of them. */
  reason: WaitReason;
  tasks: number;
}

/** Caps and shares of the plan's customers during a pass. */
export interface CustomerRules {
  limits: CustomerLimits;
  shares: CustomerShares;
}

/** Gives each step its turn in order of urgency. */
export function placeByUrgency(
  ranked: readonly RankedStep[],
  place: PlaceTasks,
): StepWait[] {
  const waits: StepWait[] = [];
  for (const { step } of ranked) {
    const { size } = step.indices;
    const tasks = size - place(step, { from: 0, count: size });
    if (tasks > 0) {
      waits.push({ step, reason: "capacity", tasks });
    }
  }
  return waits;
}

/** Gives each step its turn by urgency and by the share of its customer, as far as caps allow. */
export function placeByShare(
  ranked: readonly RankedStep[],
  { limits, shares }: CustomerRules,
  place: PlaceTasks,
): StepWait[] {
  const waits = new Map<WaitingStep, StepWait>();
  const offer = (
    step: WaitingStep,
    range: TaskRange,
    outOfCapacity: WaitReason,
  ): void => {
    const allowed = limits.startable(step, range.count);
    const placed = allowed === 0
      ? 0
      : place(step, { ...range, count: allowed });
    if (placed > 0) {
      limits.addPlanned(step, placed);
      shares.addPlanned(step, placed);
    }
    if (placed < range.count) {
      const reason = placed === allowed ? "cap" : outOfCapacity;
      const before = waits.get(step) ?? { step, reason, tasks: 0 };
      before.tasks += range.count - placed;
      waits.set(step, before);
    }
  };
  for (const group of groupsOfEqualUrgency(ranked)) {
    const deferred: { step: WaitingStep; range: TaskRange }[] = [];
    for (const { step } of group) {
      const { size } = step.indices;
      const count = tasksWithinShare(step, shares);
      if (count > 0) {
        offer(step, { from: 0, count }, "capacity");
      }
      if (count < size) {
        deferred.push({ step, range: { from: count, count: size - count } });
      }
    }
    deferred.forEach(({ step, range }) => offer(step, range, "share"));
  }
  return [...waits.values()];
}

/** Number of waiting tasks that the share allows; all or none if they should run together. */
function tasksWithinShare(step: WaitingStep, shares: CustomerShares): number {
  const { spec, indices } = step;
  const count = shares.tasksWithin(step);
  return count > 0 && (spec.gang || spec.sameRack)
    ? indices.size
    : Math.min(indices.size, count);
}

function groupsOfEqualUrgency(ranked: readonly RankedStep[]): RankedStep[][] {
  const groups: RankedStep[][] = [];
  let last: RankedStep | undefined;
  for (const each of ranked) {
    if (last === undefined || !hasEqualUrgency(last, each)) {
      groups.push([]);
    }
    groups.at(-1)?.push(each);
    last = each;
  }
  return groups;
}
