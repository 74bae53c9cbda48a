/**
 * Choice of busy VMs that leave their pool once their runs have ended.
 *
 * A pool with a backlog never has an idle VM, so a pool that is short would wait until the backlog is gone. VMs of a
 * pool that holds more than its part get no new runs, and are moved when they are idle.
 *
 * @module
 */
import { missingCores, type PoolState, targetCores } from "./pool_moves.ts";

/** Share of its part below which a pool takes busy VMs of others; idle VMs make up for smaller differences. */
const STARVED_SHARE = 0.9;

/** Share of its part above which a pool gives up busy VMs; keeps VMs from moving back and forth. */
const GENEROUS_SHARE = 1.1;

/** A VM with runs, all of which end by themselves. */
export interface BusyVm {
  vm: string;
  pool: string;
  cores: number;
  /** Cores that its runs reserve. */
  reservedCores: number;
  /** Whether it was chosen before; it stays chosen as long as any VM of its pool is. */
  isReclaimed: boolean;
}

/**
 * Chooses VMs to reclaim for the pools that have less than their part after the moves of idle VMs. Those with the
 * least work go first, since they are idle soonest.
 */
export function chooseReclaims(
  pools: readonly PoolState[],
  listBusyVms: () => readonly BusyVm[],
): Set<string> {
  const active = pools.filter(({ standby }) => !standby);
  const needed = active.reduce(
    (total, pool) => total + Math.max(0, missingForShare(pool, STARVED_SHARE)),
    0,
  );
  const chosen = new Set<string>();
  if (needed <= 0) {
    return chosen;
  }
  const busyVms = listBusyVms();
  let promised = 0;
  const bySurplus = [...active].sort((a, b) =>
    missingCores(a) - missingCores(b)
  );
  for (const pool of bySurplus) {
    let surplus = -missingForShare(pool, GENEROUS_SHARE);
    let spareVms = pool.vms - pool.demand.vms;
    for (const { vm, cores } of byEffort(busyVms, pool.name)) {
      if (promised >= needed || surplus < cores || spareVms <= 0) {
        break;
      }
      chosen.add(vm);
      promised += cores;
      surplus -= cores;
      spareVms -= 1;
    }
  }
  return chosen;
}

/** Cores that a pool lacks to hold a share of its part; negative if it holds more. */
function missingForShare(pool: PoolState, share: number): number {
  return share * targetCores(pool) - pool.cores;
}

function byEffort(busyVms: readonly BusyVm[], pool: string): BusyVm[] {
  return busyVms.filter((busy) => busy.pool === pool).sort((a, b) =>
    Number(b.isReclaimed) - Number(a.isReclaimed) ||
    a.reservedCores - b.reservedCores
  );
}
