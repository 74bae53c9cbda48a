/**
 * Which VMs change their pool.
 *
 * Answers the pattern of pools that are short of room by turns: idle VMs follow the demand, and those that no pool needs
 * go to a standby pool, where they cost nothing.
 *
 * @module
 */
import type { PoolDemand } from "./pool_demand.ts";

/** A VM that could be moved, because nothing runs on it. */
export interface IdleVm {
  vm: string;
  pool: string;
  cores: number;
  /** How long it has been idle, in milliseconds. */
  idleMs: number;
}

export interface PoolState {
  name: string;
  standby: boolean;
  demand: PoolDemand;
  /** Cores of its workers, and of VMs on their way to it. */
  cores: number;
  idle: IdleVm[];
}

export interface Move {
  vm: string;
  from: string;
  to: string;
}

/** Share of a pool's cores that can be filled; tasks of several cores leave gaps. */
const USABLE_SHARE = 0.85;

/** Idle time after which a VM goes to standby, in milliseconds: twice the price of a move in machine-seconds. */
const STANDBY_AFTER_MS = 2_500;

/** The moves to order now. */
export function chooseMoves(pools: readonly PoolState[]): Move[] {
  const active = pools.filter(({ standby }) => !standby);
  const reserve = pools.filter(({ standby }) => standby);
  const moves: Move[] = [];
  const taken = new Set<string>();
  const take = (source: PoolState, to: string, idle: IdleVm): void => {
    taken.add(idle.vm);
    source.cores -= idle.cores;
    moves.push({ vm: idle.vm, from: source.name, to });
  };
  for (const pool of byShortage(active)) {
    while (shortage(pool) > 0) {
      const found = findSpare(pool, active, taken) ??
        findIdle(reserve, taken);
      if (found === undefined) {
        break;
      }
      take(found.source, pool.name, found.idle);
      pool.cores += found.idle.cores;
    }
  }
  const [home] = reserve;
  if (home !== undefined) {
    for (const pool of active) {
      for (const idle of pool.idle) {
        const isSpare = shortage(pool) + idle.cores <= 0;
        if (!taken.has(idle.vm) && isSpare && idle.idleMs >= STANDBY_AFTER_MS) {
          take(pool, home.name, idle);
        }
      }
    }
  }
  return moves;
}

/** Cores that a pool lacks; negative when it has more than it needs. */
function shortage({ demand, cores }: PoolState): number {
  return demand.wanted / USABLE_SHARE - cores;
}

function byShortage(pools: readonly PoolState[]): PoolState[] {
  return [...pools].sort((a, b) => shortage(b) - shortage(a));
}

interface Found {
  source: PoolState;
  idle: IdleVm;
}

/** An idle VM of a pool that has enough without it. */
function findSpare(
  pool: PoolState,
  active: readonly PoolState[],
  taken: ReadonlySet<string>,
): Found | undefined {
  for (const source of active) {
    const idle = source.idle.find(({ vm }) => !taken.has(vm));
    if (
      source !== pool && idle !== undefined &&
      shortage(source) + idle.cores <= 0
    ) {
      return { source, idle };
    }
  }
  return undefined;
}

function findIdle(
  pools: readonly PoolState[],
  taken: ReadonlySet<string>,
): Found | undefined {
  for (const source of pools) {
    const idle = source.idle.find(({ vm }) => !taken.has(vm));
    if (idle !== undefined) {
      return { source, idle };
    }
  }
  return undefined;
}
