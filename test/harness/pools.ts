/**
 * Watches that each VM is in exactly one pool, in what every process tells and in what the targets ran.
 *
 * @module
 */
import type { Inventory, Vms } from "@quetzalcove/core";
import type { Run } from "@quetzalcove/emulator";
import type { Cluster } from "./cluster.ts";

/** An inventory whose VMs are in the pools that a function names. */
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

/** Reads the VMs at every entry for as long as it runs. */
export class PoolChecker {
  readonly violations: string[] = [];
  listings = 0;
  moves = 0;
  readonly #cluster: Cluster;
  /** What any process told of a VM at a revision. */
  readonly #reported = new Map<string, string>();
  /** The latest revision and pool of a VM that were told in an answer that has ended. */
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
    this.listings += 1;
    if (new Set(rows.map((row) => row.name)).size !== rows.length) {
      this.violations.push(`${name} lists a VM twice`);
    }
    for (const { name: vm, revision, pool, phase } of rows) {
      const text = `${pool} ${phase}`;
      const told = this.#reported.get(`${vm} ${revision}`) ?? text;
      this.#reported.set(`${vm} ${revision}`, told);
      if (told !== text) {
        this.violations.push(
          `${name} tells "${text}" of ${vm} at ${revision}, another told "${told}"`,
        );
      }
      const known = before.get(vm);
      if (known !== undefined && revision < known.revision) {
        this.violations.push(
          `${name} tells revision ${revision} of ${vm} after ${known.revision}`,
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

/** Runs of two services, so of two pools, that were at work on one VM at the same time. */
export function overlappingRuns(
  runs: readonly Run[],
  leastRunMs: number,
): string[] {
  const found: string[] = [];
  const byVm = new Map<string, Run[]>();
  for (const run of runs) {
    const own = byVm.get(run.vm) ?? [];
    own.push(run);
    byVm.set(run.vm, own);
  }
  for (const [vm, own] of byVm) {
    own.sort((a, b) => a.at - b.at);
    own.forEach((run, index) => {
      const earlier = own[index - 1];
      if (
        earlier !== undefined && earlier.service !== run.service &&
        run.at - earlier.at < leastRunMs
      ) {
        found.push(
          `${vm}: ${run.path} of ${run.service} began ${
            run.at - earlier.at
          } ms after ${earlier.path} of ${earlier.service}`,
        );
      }
    });
  }
  return found;
}
