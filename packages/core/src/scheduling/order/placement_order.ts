/**
 * Turns of the waiting steps in a placement pass, and why tasks of them keep waiting.
 *
 * Without customers the steps go in the order of their urgency. With customers, among steps of one urgency class those of
 * customers below their entitlement go first, as far as the entitlement goes; what is deferred follows in the same
 * order, so that no capacity stays unused.
 *
 * @module
 */
import type { CustomerShare } from "../customers/customer_shares.ts";
import type { WaitingStep } from "../model/job_record.ts";
import type { RankedStep } from "./urgency.ts";

/** Places up to `count` waiting tasks of a step after its first `from`, and returns the number of those placed. */
export type PlaceTasks = (
  step: WaitingStep,
  from: number,
  count: number,
) => number;

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

/** Gives each step its turn in order of urgency. */
export function placeByUrgency(
  ranked: readonly RankedStep[],
  place: PlaceTasks,
): StepWait[] {
  const waits: StepWait[] = [];
  for (const { step } of ranked) {
    const { size } = step.indices;
    const tasks = size - place(step, 0, size);
    if (tasks > 0) {
      waits.push({ step, reason: "capacity", tasks });
    }
  }
  return waits;
}

/** A step of which tasks wait for those of customers below their entitlement. */
interface DeferredStep {
  step: WaitingStep;
  share: CustomerShare;
  /** Number of its tasks that had their turn. */
  from: number;
  /** Those of them that keep waiting. */
  wait: StepWait | undefined;
}

/** Gives each step its turn by urgency and by the share of its owner, as far as caps allow. */
export function placeByShare(
  ranked: readonly RankedStep[],
  place: PlaceTasks,
): StepWait[] {
  const waits: StepWait[] = [];
  let deferred: DeferredStep[] = [];
  const placeDeferred = (): void => {
    for (const { step, share, from, wait } of deferred) {
      const count = step.indices.size - from;
      const left = offer(step, { share, from, count, reason: "share" }, place);
      if (wait !== undefined) {
        wait.tasks += left?.tasks ?? 0;
      } else if (left !== undefined) {
        waits.push(left);
      }
    }
    deferred = [];
  };
  let urgencyClass = -Infinity;
  for (const { step, share, urgencyClass: current } of ranked) {
    if (current !== urgencyClass) {
      placeDeferred();
      urgencyClass = current;
    }
    if (share === undefined) {
      continue;
    }
    if (!share.isBelow) {
      deferred.push({ step, share, from: 0, wait: undefined });
      continue;
    }
    const count = tasksWithin(share, step);
    const wait = offer(
      step,
      { share, from: 0, count, reason: "capacity" },
      place,
    );
    if (wait !== undefined) {
      waits.push(wait);
    }
    if (count < step.indices.size) {
      deferred.push({ step, share, from: count, wait });
    }
  }
  placeDeferred();
  return waits;
}

/** The turn of some tasks of a step. */
interface Turn {
  share: CustomerShare;
  from: number;
  count: number;
  /** Why those that no worker can take keep waiting. */
  reason: WaitReason;
}

/** Places tasks as far as the cap allows; returns those that keep waiting. */
function offer(
  step: WaitingStep,
  { share, from, count, reason }: Turn,
  place: PlaceTasks,
): StepWait | undefined {
  const { spec } = step;
  const allowed = share.limit?.startable(spec, count) ?? count;
  if (spec.gang && allowed === 0 && share.limit?.couldAllow(spec) === true) {
    // Smaller steps of the same customer would take the room under its cap for ever.
    share.limit.hold();
  }
  const placed = allowed === 0 ? 0 : place(step, from, allowed);
  if (placed > 0) {
    share.addPlanned(spec, placed);
  }
  return placed === count ? undefined : {
    step,
    reason: placed === allowed ? "cap" : reason,
    tasks: count - placed,
  };
}

/** Number of waiting tasks that bring a customer to its entitlement; all or none if they should run together. */
function tasksWithin(
  share: CustomerShare,
  { spec, indices }: WaitingStep,
): number {
  return spec.gang || spec.sameRack
    ? indices.size
    : Math.min(indices.size, share.tasksWithin(spec));
}
