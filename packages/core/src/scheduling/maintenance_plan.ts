/**
 * Which VMs of a wave are taken down next.
 *
 * Answers the pattern of maintenance under load: no more VMs are out at once than the wave needs to end in time, so that
 * a rise of demand finds the others. VMs that are off or idle go first, busy ones are drained while their pool has
 * nothing waiting, and all of them once the wave is short of time.
 *
 * @module
 */

/** A VM of a wave that has not had its upkeep. */
export interface DueVm {
  vm: string;
  /** Runs on it, of which some last. */
  runs: number;
  lastingRuns: number;
  /** Whether tasks wait in its pool. */
  isPoolBusy: boolean;
  /** Whether it was chosen before and is being emptied. */
  isDraining: boolean;
  /** Whether it can be taken down, or emptied for that, now. */
  isUp: boolean;
}

export interface WaveProgress {
  maxDown: number;
  /** VMs that are down for the wave, or may be. */
  down: number;
  /** Time until the wave should be complete, in milliseconds. */
  leftMs: number;
  due: DueVm[];
}

export interface UpkeepPlan {
  /** VMs to take down now; nothing runs on them. */
  takeDown: string[];
  /** VMs that get no new work, so that they become empty. */
  drain: string[];
}

/** Time that one VM takes from the choice until it is back, in milliseconds: emptying, upkeep and rejoining. */
const VM_CYCLE_MS = 6_000;

/** The same of a VM on which nothing runs. */
const EMPTY_VM_CYCLE_MS = 3_000;

/** VMs that are out at once, against an even spread over the time left; the margin is for drains that take longer. */
const PACE_MARGIN = 1.25;

/** Chooses what to take down and what to empty. */
export function planUpkeep(progress: WaveProgress): UpkeepPlan {
  const { maxDown, down, leftMs, due } = progress;
  const places = maxDown - down;
  const rounds = Math.ceil(due.length / maxDown);
  const isShortOfTime = leftMs < (rounds + 1) * VM_CYCLE_MS;
  const pace = isShortOfTime ? maxDown : paceOf(due, leftMs);
  const calmPlaces = Math.min(places, Math.max(0, pace - down));
  const up = due.filter(({ isUp }) => isUp);
  const isBusy = ({ runs }: DueVm): boolean => runs > 0;
  const busy = up.filter(isBusy);
  const empty = up.filter((each) => !isBusy(each));
  // What was begun goes on: an emptied VM would be moved as an idle one, and tasks that last have left the others.
  const emptied = empty.filter(({ isDraining }) => isDraining)
    .slice(0, Math.max(0, places));
  const draining = busy.filter(({ isDraining }) => isDraining).sort(byWork)
    .slice(0, Math.max(0, places - emptied.length));
  const begun = emptied.length + draining.length;
  const idle = empty.filter(({ isDraining }) => !isDraining)
    .slice(0, Math.max(0, calmPlaces - begun));
  const next = busy.filter(({ isDraining, isPoolBusy }) =>
    !isDraining && (isShortOfTime || !isPoolBusy)
  ).sort(byWork).slice(0, Math.max(0, calmPlaces - begun - idle.length));
  return {
    takeDown: [...emptied, ...idle].map(({ vm }) => vm),
    drain: [...draining, ...next].map(({ vm }) => vm),
  };
}

/** VMs that must be out at once, so that all have had their turn in the time that is left. */
function paceOf(due: readonly DueVm[], leftMs: number): number {
  const workMs = due.reduce(
    (sum, { runs }) => sum + (runs === 0 ? EMPTY_VM_CYCLE_MS : VM_CYCLE_MS),
    0,
  );
  return Math.ceil(PACE_MARGIN * workMs / leftMs);
}

function byWork(a: DueVm, b: DueVm): number {
  return a.lastingRuns - b.lastingRuns || a.runs - b.runs;
}
