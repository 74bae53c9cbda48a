/**
 * Which VMs of a maintenance wave are drained or taken down next.
 *
 * No more VMs are out of service at once than the wave needs to end in time, so that the others can serve a burst of
 * demand. VMs that are off or idle go first. Busy ones are drained while no tasks wait in their pool, or regardless of
 * waiting tasks once the wave is short of time. Long-running tasks of a step leave one after the other, so VMs with them
 * are short of time earlier, and then go before all others.
 *
 * @module
 */

/** A VM of a wave whose maintenance is outstanding. */
export interface DueVm {
  vm: string;
  /** Number of active runs on it. */
  runs: number;
  /** Number of these that are long-running. */
  lastingRuns: number;
  /** Number of evacuations, one after the other, until its long-running tasks and others of their steps have left. */
  evacuations: number;
  /** Whether tasks wait in its pool. */
  isPoolBusy: boolean;
  /** Whether it was chosen earlier and is being drained. */
  isDraining: boolean;
  /** Whether it can be drained or taken down now. */
  isUp: boolean;
}

export interface WaveProgress {
  maxDown: number;
  /** Number of VMs that are, or may be, down for the wave. */
  down: number;
  /** Time left until the wave should be complete, in milliseconds. */
  leftMs: number;
  due: DueVm[];
}

export interface MaintenancePlan {
  /** VMs to take down now; no runs are active on them. */
  takeDown: string[];
  /** VMs to drain: they get no new work. */
  drain: string[];
}

/** Time from choosing a VM until it is back: draining, maintenance and rejoining. */
const VM_CYCLE_MS = 6_000;

/** The same for a VM without runs, which needs no draining. */
const EMPTY_VM_CYCLE_MS = 3_000;

/** Time from the stop of a long-running task until it is ready elsewhere, so that the next one may leave. */
const EVACUATION_MS = 1_500;

/** Factor on the number of VMs out at once that an even spread over the time left needs, as some drains take longer. */
const CONCURRENCY_MARGIN = 1.25;

/** Chooses the VMs to take down and to drain. */
export function planMaintenance(progress: WaveProgress): MaintenancePlan {
  const { maxDown, down, leftMs, due } = progress;
  const slots = maxDown - down;
  const batches = Math.ceil(due.length / maxDown);
  const isShortOfTime = leftMs < (batches + 1) * VM_CYCLE_MS;
  const concurrency = isShortOfTime
    ? maxDown
    : requiredConcurrency(due, leftMs);
  const pacedSlots = Math.min(slots, Math.max(0, concurrency - down));
  const up = due.filter(({ isUp }) => isUp);
  const isBusy = ({ runs }: DueVm): boolean => runs > 0;
  const busy = up.filter(isBusy);
  const empty = up.filter((each) => !isBusy(each));
  // VMs chosen earlier come first: a drained VM would otherwise be moved to another pool as idle, and long-running
  // tasks have already left the draining ones.
  const drained = empty.filter(({ isDraining }) => isDraining)
    .slice(0, Math.max(0, slots));
  const draining = busy.filter(({ isDraining }) => isDraining).sort(byWork)
    .slice(0, Math.max(0, slots - drained.length));
  const continued = drained.length + draining.length;
  const pending = busy.filter(({ isDraining }) => !isDraining).sort(byWork);
  const isUrgent = (each: DueVm): boolean => drainMs(each) >= leftMs;
  const urgent = pending.filter(isUrgent)
    .slice(0, Math.max(0, pacedSlots - continued));
  const idle = empty.filter(({ isDraining }) => !isDraining)
    .slice(0, Math.max(0, pacedSlots - continued - urgent.length));
  const next = pending.filter((each) =>
    !isUrgent(each) && (isShortOfTime || !each.isPoolBusy)
  ).slice(
    0,
    Math.max(0, pacedSlots - continued - urgent.length - idle.length),
  );
  return {
    takeDown: [...drained, ...idle].map(({ vm }) => vm),
    drain: [...draining, ...urgent, ...next].map(({ vm }) => vm),
  };
}

/** Time in which a VM with long-running tasks is drained and maintained, with a margin; 0 without such tasks. */
function drainMs({ evacuations }: DueVm): number {
  return evacuations === 0
    ? 0
    : CONCURRENCY_MARGIN * evacuations * EVACUATION_MS + VM_CYCLE_MS;
}

/** Number of VMs that must be out of service at once for all to be maintained in the time left. */
function requiredConcurrency(due: readonly DueVm[], leftMs: number): number {
  const workMs = due.reduce(
    (sum, { runs }) => sum + (runs === 0 ? EMPTY_VM_CYCLE_MS : VM_CYCLE_MS),
    0,
  );
  return Math.ceil(CONCURRENCY_MARGIN * workMs / leftMs);
}

function byWork(a: DueVm, b: DueVm): number {
  return a.lastingRuns - b.lastingRuns || a.runs - b.runs;
}
