/**
 * Checks that each VM is in exactly one pool, by the state that the entries report and by the runs of the targets.
 *
 * @module
 */
import type { Inventory, Vms } from "@quetzalcove/core";
import type { Run } from "@quetzalcove/emulator";
import type { Cluster } from "./cluster.ts";

/** Returns the inventory with the pool of each VM replaced by that of `poolOf`. */
export function withPools(
  inventory: Inventory,
  poolOf: (vm: string, index: number) => string,
): Inventory {
  return {
    ...inventory,
    vms: inventory.vms.map((vm, index) => ({
      ...vm,
      pool: poolOf(vm.name, index),
    })),
  };
}

const POLL_INTERVAL_MS = 50;

/** Polls the VMs at every entry and checks that the readings are consistent. */
export class PoolChecker {
  readonly violations: string[] = [];
  /** Number of readings that were checked. */
  readingCount = 0;
  /** Number of observed moves between pools. */
  moves = 0;
  /** Whether a VM was not in its desired pool, or not serving, in the last reading. */
  isMoving = false;
  readonly #cluster: Cluster;
  /** First reported pool and phase of a VM, by VM and revision. */
  readonly #reported = new Map<string, string>();
  /** Latest revision of each VM in any completed reading, with the pool. */
  readonly #latest = new Map<string, { revision: number; pool: string }>();
  #stopped = false;
  #tasks: Promise<void>[] = [];

  constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  start(): void {
    this.#tasks = this.#cluster.names.map((name) => this.#poll(name));
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#tasks);
  }

  async #poll(name: string): Promise<void> {
    while (!this.#stopped) {
      const before = new Map(this.#latest);
      const rows = await this.#cluster.vms(name);
      if (rows.length > 0) {
        this.#check(name, rows, before);
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  #check(
    name: string,
    rows: Vms["vms"],
    before: ReadonlyMap<string, { revision: number; pool: string }>,
  ): void {
    this.readingCount += 1;
    this.isMoving = rows.some((row) =>
      row.pool !== row.desiredPool || row.phase !== "serving"
    );
    if (new Set(rows.map((row) => row.name)).size !== rows.length) {
      this.violations.push(`${name} lists a VM more than once`);
    }
    for (const { name: vm, revision, pool, phase } of rows) {
      const reading = `${pool} ${phase}`;
      const first = this.#reported.get(`${vm} ${revision}`) ?? reading;
      this.#reported.set(`${vm} ${revision}`, first);
      if (first !== reading) {
        this.violations.push(
          `${name} reports "${reading}" for ${vm} at revision ${revision}; "${first}" was reported before`,
        );
      }
      const known = before.get(vm);
      if (known !== undefined && revision < known.revision) {
        this.violations.push(
          `${name} reports revision ${revision} of ${vm} after revision ${known.revision}`,
        );
      }
      this.#recordPool(vm, { revision, pool });
    }
  }

  #recordPool(vm: string, current: { revision: number; pool: string }): void {
    const latest = this.#latest.get(vm);
    if (latest === undefined || latest.revision < current.revision) {
      this.moves += latest !== undefined && latest.pool !== current.pool
        ? 1
        : 0;
      this.#latest.set(vm, current);
    }
  }
}

/** Runs that overlap on one VM with a run of another service, and so of another pool. */
export function overlappingRuns(
  runs: readonly Run[],
  minRunMs: number,
): string[] {
  const overlaps: string[] = [];
  const byVm = new Map<string, Run[]>();
  for (const run of runs) {
    const vmRuns = byVm.get(run.vm) ?? [];
    vmRuns.push(run);
    byVm.set(run.vm, vmRuns);
  }
  for (const [vm, vmRuns] of byVm) {
    vmRuns.sort((a, b) => a.at - b.at);
    vmRuns.forEach((run, index) => {
      const earlier = vmRuns[index - 1];
      if (
        earlier !== undefined && earlier.service !== run.service &&
        run.at - earlier.at < minRunMs
      ) {
        overlaps.push(
          `${vm}: ${run.path} of ${run.service} started ${
            run.at - earlier.at
          } ms after ${earlier.path} of ${earlier.service}`,
        );
      }
    });
  }
  return overlaps;
}
