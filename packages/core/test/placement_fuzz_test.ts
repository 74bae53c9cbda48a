import * as fc from "fast-check";
import { expect, test } from "vitest";
import type { Cluster } from "../../../bench/src/placement/cluster.ts";
import { createRandom } from "../../../bench/src/placement/random.ts";
import { actualUsage, job, smallCluster } from "./placement_fleet.ts";

const FAULTS_END_MS = 60_000;
const MAX_RECOVERY_MS = 600_000;
const VMS = ["a1", "a2", "a3", "b1", "b2", "b3"];

const event = fc.record({
  at: fc.integer({ min: 0, max: FAULTS_END_MS }),
  vm: fc.constantFrom(...VMS),
  ms: fc.integer({ min: 100, max: 25_000 }),
  kind: fc.constantFrom(
    "crash",
    "cut",
    "cut answers",
    "cut operations",
    "elect",
    "elect with overlap",
    "drain",
    "submit",
    "cancel",
  ),
});
type Event = typeof event extends fc.Arbitrary<infer T> ? T : never;

function submitBatch(cluster: Cluster, at: number): void {
  const jobs = [0, 1, 2, 3, 4].map((n) =>
    job(`j${at}-${n}`, {
      team: n % 2 === 0 ? "north" : "south",
      pool: n < 3 ? "a" : "b",
      priority: (["urgent", "live", "overnight"] as const)[n % 3],
      memoryGb: 2 + n * 3,
      accelerators: n === 2 ? 1 : 0,
    })
  );
  cluster.submit(jobs);
}

function cancelHalf(cluster: Cluster): void {
  const ids = Object.keys(cluster.state.jobs.active);
  cluster.cancel(ids.filter((_, n) => n % 2 === 0));
}

function setPhase(
  cluster: Cluster,
  vm: string,
  to: "draining" | "serving",
): void {
  const from = cluster.state.vms[vm]?.phase ?? "serving";
  const at = cluster.at;
  cluster.apply({ kind: "vm.phase", vm, from, to, reason: "operator", at });
}

function applyEvent(
  cluster: Cluster,
  { kind, vm, ms, at }: Event,
  followUps: { at: number; run: () => void }[],
): void {
  const worker = cluster.workers.get(vm);
  switch (kind) {
    case "crash":
      if (worker?.up === true) {
        worker.crash(cluster.now);
        followUps.push({ at: at + ms, run: () => worker.restart(cluster.now) });
      }
      return;
    case "cut":
      return cluster.dropMessages(vm, { toMs: ms, fromMs: ms });
    case "cut answers":
      return cluster.dropMessages(vm, { toMs: 0, fromMs: ms });
    case "cut operations":
      return cluster.dropMessages(vm, { toMs: ms, fromMs: 0 });
    case "elect":
      return cluster.elect();
    case "elect with overlap":
      return cluster.elect({ overlapMs: 2_500 });
    case "drain":
      setPhase(cluster, vm, "draining");
      followUps.push({
        at: at + ms,
        run: () => setPhase(cluster, vm, "serving"),
      });
      return;
    case "submit":
      return submitBatch(cluster, at);
    case "cancel":
      return cancelHalf(cluster);
  }
}

function runEvents(cluster: Cluster, events: Event[]): void {
  const queue: { at: number; run: () => void }[] = [];
  const followUps: { at: number; run: () => void }[] = [];
  for (const entry of events) {
    queue.push({
      at: entry.at,
      run: () => applyEvent(cluster, entry, followUps),
    });
  }
  cluster.runUntil(FAULTS_END_MS + 30_000, () => {
    for (const list of [queue, followUps]) {
      for (const entry of list.filter(({ at }) => at <= cluster.now)) {
        list.splice(list.indexOf(entry), 1);
        entry.run();
      }
    }
  });
}

function runUntilIdle(cluster: Cluster): void {
  while (cluster.now < MAX_RECOVERY_MS && hasActive(cluster)) {
    cluster.step();
  }
}

function hasActive(cluster: Cluster): boolean {
  return Object.keys(cluster.state.jobs.active).length > 0;
}

test("no schedule of faults starts a job twice, loses one or exceeds a quota", () => {
  fc.assert(
    fc.property(
      fc.array(event, { minLength: 5, maxLength: 30 }),
      fc.integer({ min: 1, max: 1_000_000 }),
      (events, seed) => {
        const random = createRandom(seed);
        const sizes = new Map<string, number>();
        const cluster = smallCluster({
          random,
          loss: 0.05,
          delayMs: 700,
          usageOf: (id) => {
            const memoryMb = sizes.get(id) ?? Math.ceil(random() * 14_000);
            sizes.set(id, memoryMb);
            return actualUsage({ memoryMb, workMs: 2_000 + memoryMb });
          },
        });
        submitBatch(cluster, 0);
        runEvents(cluster, events);
        runUntilIdle(cluster);
        const { jobs } = cluster.state;
        expect(cluster.counts).toMatchObject({
          duplicateRuns: 0,
          wrongPoolStarts: 0,
          quotaBreaches: 0,
        });
        expect(Object.keys(jobs.active)).toEqual([]);
        expect(jobs.runsOn).toEqual({});
        for (const held of Object.values(jobs.held)) {
          expect(held).toEqual({ millicores: 0, memoryMb: 0, accelerators: 0 });
        }
      },
    ),
    { numRuns: 60, seed: 20, verbose: 1 },
  );
});
