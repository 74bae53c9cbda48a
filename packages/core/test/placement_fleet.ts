/**
 * A small fleet and its jobs for the placement tests.
 *
 * @module
 */
import { Inventory, Rules, SubmittedJob } from "@quetzalcove/core";
import {
  Cluster,
  type SimulationOptions,
} from "../../../bench/src/placement/cluster.ts";
import { createRandom } from "../../../bench/src/placement/random.ts";
import type { ActualUsage } from "../../../bench/src/placement/worker.ts";

/** Two pools of three VMs each in three racks. */
export function smallInventory(): Inventory {
  const vms = ["a", "b"].flatMap((pool) =>
    [1, 2, 3].map((rack) => ({
      name: `${pool}${rack}`,
      rack: `rack-${rack}`,
      pool,
      cores: 8,
      memoryGb: 32,
      accelerators: rack === 1 ? 2 : 0,
    }))
  );
  return Inventory.parse({
    zones: [{ name: "zone-1", region: "region-1" }],
    racks: [1, 2, 3].map((rack) => ({ name: `rack-${rack}`, zone: "zone-1" })),
    pools: [{ name: "a" }, { name: "b" }],
    vms,
  });
}

/** Two teams with quotas. */
export function smallRules(): Rules {
  return Rules.parse({
    teams: [
      { name: "north", cores: 40, memoryGb: 120, accelerators: 4 },
      { name: "south", cores: 16, memoryGb: 64, accelerators: 0 },
    ],
  });
}

/** A job with default values. */
export function job(
  id: string,
  fields: Partial<SubmittedJob> = {},
): SubmittedJob {
  return SubmittedJob.parse({
    id,
    team: "north",
    kind: "reduce",
    pool: "a",
    cores: 2,
    memoryGb: 4,
    runtimeMs: 20_000,
    ...fields,
  });
}

/** Actual usage that matches what {@link job} declares. */
export function actualUsage(fields: Partial<ActualUsage> = {}): ActualUsage {
  return {
    memoryMb: 4_096,
    millicores: 2_000,
    workMs: 20_000,
    alwaysFails: false,
    ...fields,
  };
}

/** A small cluster with short message delays and no message loss. */
export function smallCluster(fields: Partial<SimulationOptions> = {}): Cluster {
  return new Cluster({
    inventory: smallInventory(),
    rules: smallRules(),
    usageOf: () => actualUsage(),
    random: createRandom(1),
    stepMs: 50,
    tickMs: 500,
    delayMs: 20,
    loss: 0,
    ...fields,
  });
}
