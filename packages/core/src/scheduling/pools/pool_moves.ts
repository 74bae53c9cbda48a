/**
 * Moves of VMs between pools.
 *
 * Pools are short of capacity at different times. Idle VMs are moved to the pools that lack cores, and those that no
 * pool needs to a standby pool, where they cost nothing.
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
  /** Cores of its workers and of VMs that are being moved to it. */
  cores: number;
  /** Number of these workers and VMs. */
  vms: number;
  idle: IdleVm[];
  /** Its part of a fleet that is too small for all demand, in cores; undefined if it may have what it wants. */
  allocated?: number | undefined;
}

export interface Move {
  vm: string;
  from: string;
  to: string;
}

/** Share of a pool's cores that tasks can use; tasks of several cores leave some cores of a VM unused. */
const USABLE_SHARE = 0.85;

/** Idle time after which a VM is moved to standby; twice the machine time that a move costs. */
const STANDBY_AFTER_MS = 2_500;

/** Chooses the moves to order now; updates the pools' `cores` and `vms` accordingly. */
export function chooseMoves(pools: readonly PoolState[]): Move[] {
  const active = pools.filter(({ standby }) => !standby);
  const standbyPools = pools.filter(({ standby }) => standby);
  const moves: Move[] = [];
  const moved = new Set<string>();
  const addMove = (source: PoolState, to: string, idle: IdleVm): void => {
    moved.add(idle.vm);
    source.cores -= idle.cores;
    source.vms -= 1;
    moves.push({ vm: idle.vm, from: source.name, to });
  };
  for (const pool of byShortage(active)) {
    while (missingCores(pool) > 0 || pool.vms < pool.demand.vms) {
      const found = findSurplusVm(pool, active, moved) ??
        findIdleVm(standbyPools, moved);
      if (found === undefined) {
        break;
      }
      addMove(found.source, pool.name, found.idle);
      pool.cores += found.idle.cores;
      pool.vms += 1;
    }
  }
  const [standbyPool] = standbyPools;
  if (standbyPool !== undefined) {
    for (const pool of active) {
      for (const idle of pool.idle) {
        if (
          !moved.has(idle.vm) && isSurplus(pool, idle) &&
          idle.idleMs >= STANDBY_AFTER_MS
        ) {
          addMove(pool, standbyPool.name, idle);
        }
      }
    }
  }
  return moves;
}

/** Cores with which a pool can start as much as it wants to. */
export function neededCores(wanted: number): number {
  return wanted / USABLE_SHARE;
}

/** Cores that a pool should have: what it needs, or its part of a fleet that is too small. */
export function targetCores({ demand, allocated }: PoolState): number {
  return Math.min(neededCores(demand.wanted), allocated ?? Infinity);
}

/** Number of cores that a pool lacks; negative if it has a surplus. */
export function missingCores(pool: PoolState): number {
  return targetCores(pool) - pool.cores;
}

/** Whether a pool has enough cores and VMs without an idle VM of its own. */
function isSurplus(pool: PoolState, { cores }: IdleVm): boolean {
  return missingCores(pool) + cores <= 0 && pool.vms > pool.demand.vms;
}

function byShortage(pools: readonly PoolState[]): PoolState[] {
  return [...pools].sort((a, b) => missingCores(b) - missingCores(a));
}

interface SourceVm {
  source: PoolState;
  idle: IdleVm;
}

/** Finds an idle VM in a pool that has enough cores without it. */
function findSurplusVm(
  pool: PoolState,
  active: readonly PoolState[],
  moved: ReadonlySet<string>,
): SourceVm | undefined {
  for (const source of active) {
    const idle = source.idle.find(({ vm }) => !moved.has(vm));
    if (
      source !== pool && idle !== undefined &&
      isSurplus(source, idle)
    ) {
      return { source, idle };
    }
  }
  return undefined;
}

function findIdleVm(
  pools: readonly PoolState[],
  moved: ReadonlySet<string>,
): SourceVm | undefined {
  for (const source of pools) {
    const idle = source.idle.find(({ vm }) => !moved.has(vm));
    if (idle !== undefined) {
      return { source, idle };
    }
  }
  return undefined;
}
