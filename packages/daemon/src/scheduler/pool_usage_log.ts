/**
 * Logs what the VMs of each pool are used for, since each second of a VM in a pool has its price.
 *
 * @module
 */
import type { JobStore, Worker } from "@quetzalcove/core/scheduling";
import type { Log } from "../observe/log.ts";
import type { Absence } from "./vm_directory.ts";

/** Interval at which the usage of pools is logged. */
export const POOL_USAGE_LOG_INTERVAL_MS = 500;

/** State of the fleet at one moment. */
export interface PoolUsageSnapshot {
  jobStore: JobStore;
  /** VMs that are on their way to a pool or back into it. */
  absences: Iterable<Absence>;
  /** Whether a worker gets no new runs because its VM is about to leave or is down. */
  isCordoned: (worker: Worker) => boolean;
}

/** Number of VMs of a pool by what they are used for. */
interface PoolUsage {
  /** With runs that end by themselves. */
  busy: number;
  /** With long-running tasks only. */
  lasting: number;
  idle: number;
  cordoned: number;
  /** On their way to the pool. */
  absent: number;
  /** Cores of the busy VMs, and what runs reserve of them. */
  busyMillicores: number;
  reservedMillicores: number;
}

const MILLICORES_PER_CORE = 1_000;

/** Logs one line for each pool with VMs. */
export function logPoolUsage(snapshot: PoolUsageSnapshot, log: Log): void {
  for (const [pool, usage] of poolUsages(snapshot)) {
    const { busyMillicores, reservedMillicores, ...counts } = usage;
    if (Object.values(counts).some((count) => count > 0)) {
      log.info("pool.usage", {
        pool,
        ...counts,
        busyCores: Math.round(busyMillicores / MILLICORES_PER_CORE),
        reservedCores: Math.round(reservedMillicores / MILLICORES_PER_CORE),
      });
    }
  }
}

function poolUsages(
  { jobStore, absences, isCordoned }: PoolUsageSnapshot,
): Map<string, PoolUsage> {
  const usages = new Map(
    jobStore.plan.pools.filter(({ standby }) => !standby).map(({ name }) => [
      name,
      emptyUsage(),
    ]),
  );
  for (const worker of jobStore.workers.values()) {
    const usage = usages.get(worker.pool);
    if (usage !== undefined) {
      addWorker(usage, worker, jobStore, isCordoned(worker));
    }
  }
  for (const { pool } of absences) {
    const usage = usages.get(pool);
    if (usage !== undefined) {
      usage.absent += 1;
    }
  }
  return usages;
}

function addWorker(
  usage: PoolUsage,
  { id, capacity }: Worker,
  jobStore: JobStore,
  isCordoned: boolean,
): void {
  const { runs, reserved } = jobStore.load(id);
  if (isCordoned) {
    usage.cordoned += 1;
  } else if (runs.size === 0) {
    usage.idle += 1;
  } else if (
    [...runs.values()].every((run) => jobStore.stepOf(run)?.lasting === true)
  ) {
    usage.lasting += 1;
  } else {
    usage.busy += 1;
    usage.busyMillicores += capacity.cpuMilli;
    usage.reservedMillicores += reserved.cpuMilli;
  }
}

function emptyUsage(): PoolUsage {
  return {
    busy: 0,
    lasting: 0,
    idle: 0,
    cordoned: 0,
    absent: 0,
    busyMillicores: 0,
    reservedMillicores: 0,
  };
}
