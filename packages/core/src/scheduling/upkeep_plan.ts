/**
 * Which VMs of a wave are taken down next.
 *
 * Answers the pattern of maintenance under load: VMs that are off or idle go first, busy ones are drained while their
 * pool has nothing waiting, and all of them once the wave is short of time.
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

/** Part of a wave's places that are used while there is time, so that pools keep their room. */
const CALM_SHARE = 0.5;

/** Chooses what to take down and what to empty. */
export function planUpkeep(progress: WaveProgress): UpkeepPlan {
  const { maxDown, down, leftMs, due } = progress;
  const places = maxDown - down;
  const rounds = Math.ceil(due.length / maxDown);
  const isShortOfTime = leftMs < (rounds + 1) * VM_CYCLE_MS;
  const up = due.filter(({ isUp }) => isUp);
  const takeDown = up
    .filter(({ runs }) => runs === 0)
    .slice(0, Math.max(0, places))
    .map(({ vm }) => vm);
  const calmPlaces = isShortOfTime
    ? places
    : Math.max(1, Math.floor(maxDown * CALM_SHARE)) - down;
  const drainPlaces = Math.max(0, calmPlaces - takeDown.length);
  const drain = up
    .filter(({ runs, isDraining, isPoolBusy }) =>
      runs > 0 && (isDraining || isShortOfTime || !isPoolBusy)
    )
    .sort((a, b) =>
      Number(b.isDraining) - Number(a.isDraining) ||
      a.lastingRuns - b.lastingRuns || a.runs - b.runs
    )
    .slice(0, drainPlaces)
    .map(({ vm }) => vm);
  return { takeDown, drain };
}
