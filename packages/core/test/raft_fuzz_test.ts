import fc from "fast-check";
import process from "node:process";
import { describe, expect, test } from "vitest";
import { type Action, Simulation } from "./raft_simulation.ts";

/** Time limit of all cases together in seconds; `RAFT_FUZZ_SECONDS=300 RAFT_FUZZ_SEED=1` makes a long run. */
const SECONDS = Number(process.env["RAFT_FUZZ_SECONDS"] ?? 16);
const SEED = Number(process.env["RAFT_FUZZ_SEED"] ?? 20_140_619);
const RUNS = process.env["RAFT_FUZZ_SECONDS"] === undefined ? 400 : 1_000_000;

const nodeChoice = fc.nat({ max: 15 });

function kind<K extends Action["kind"]>(name: K): fc.Arbitrary<K> {
  return fc.constant(name);
}

const run = fc.record({
  kind: kind("run"),
  steps: fc.integer({ min: 1, max: 30 }),
  seed: fc.integer(),
  lossPercent: fc.constantFrom(0, 5, 20),
});
const deliver = fc.record({
  kind: kind("deliver"),
  count: fc.integer({ min: 1, max: 8 }),
  seed: fc.integer(),
});
const write = fc.record({
  kind: kind("write"),
  node: nodeChoice,
  count: fc.integer({ min: 1, max: 4 }),
});
const crash = fc.record({
  kind: kind("crash"),
  node: nodeChoice,
  kept: fc.nat(9),
});
const compact = fc.record({
  kind: kind("compact"),
  node: nodeChoice,
  kept: fc.boolean(),
});

const action: fc.Arbitrary<Action> = fc.oneof(
  { arbitrary: run, weight: 14 },
  { arbitrary: deliver, weight: 8 },
  { arbitrary: write, weight: 10 },
  {
    arbitrary: fc.record({
      kind: kind("read"),
      node: nodeChoice,
      via: nodeChoice,
    }),
    weight: 5,
  },
  { arbitrary: crash, weight: 4 },
  {
    arbitrary: fc.record({ kind: kind("restart"), node: nodeChoice }),
    weight: 6,
  },
  {
    arbitrary: fc.record({ kind: kind("crash_all"), kept: fc.nat(9) }),
    weight: 1,
  },
  { arbitrary: fc.record({ kind: kind("restart_all") }), weight: 2 },
  { arbitrary: fc.record({ kind: kind("restart_others") }), weight: 2 },
  {
    arbitrary: fc.record({ kind: kind("lose_disk"), node: nodeChoice }),
    weight: 1,
  },
  { arbitrary: fc.record({ kind: kind("repair") }), weight: 4 },
  {
    arbitrary: fc.record({ kind: kind("remove"), node: nodeChoice }),
    weight: 1,
  },
  {
    arbitrary: fc.record({ kind: kind("transfer"), node: nodeChoice }),
    weight: 2,
  },
  {
    arbitrary: fc.record({ kind: kind("isolate"), node: nodeChoice }),
    weight: 3,
  },
  {
    arbitrary: fc.record({ kind: kind("partition"), mask: fc.nat(255) }),
    weight: 2,
  },
  {
    arbitrary: fc.record({
      kind: kind("cut_one_way"),
      node: nodeChoice,
      to: nodeChoice,
    }),
    weight: 1,
  },
  { arbitrary: fc.record({ kind: kind("heal") }), weight: 6 },
  { arbitrary: compact, weight: 3 },
  {
    arbitrary: fc.record({ kind: kind("stall"), node: nodeChoice }),
    weight: 1,
  },
  {
    arbitrary: fc.record({ kind: kind("freeze"), node: nodeChoice }),
    weight: 1,
  },
);

const change = fc.record({
  kind: kind("change"),
  node: nodeChoice,
  target: nodeChoice,
  step: fc.nat(2),
});

/** Faults, with an operator who repairs the membership; the group must recover after they end. */
const faultsWithRepair = { size: 5, actions: sequence(action), recovers: true };

/** Faults and arbitrary membership changes: the group may lose its quorum permanently but must stay safe. */
const arbitraryChanges = {
  size: 4,
  actions: sequence(
    fc.oneof({ arbitrary: action, weight: 3 }, {
      arbitrary: change,
      weight: 1,
    }),
  ),
  recovers: false,
};

function sequence(of: fc.Arbitrary<Action>): fc.Arbitrary<Action[]> {
  return fc.array(of, { minLength: 20, maxLength: 150, size: "max" });
}

describe.each([
  ["3 replicas under faults", { ...faultsWithRepair, size: 3 }],
  ["5 replicas under faults", faultsWithRepair],
  [
    "4 replicas under faults and arbitrary membership changes",
    arbitraryChanges,
  ],
])("%s", (name, { size, actions, recovers }) => {
  test("keep the safety properties of Raft and linearizability", () => {
    const totals = { runs: 0, entries: 0, answers: 0, terms: 0 };
    const property = fc.property(fc.integer(), actions, (seed, steps) => {
      const simulation = new Simulation(size, seed);
      steps.forEach((step) => simulation.perform(step));
      if (recovers) {
        simulation.finish();
      }
      const { applied, completed, terms } = simulation.checker;
      totals.runs += 1;
      totals.entries += applied.length;
      totals.answers += completed;
      totals.terms += terms;
    });
    fc.assert(property, {
      seed: SEED + size,
      numRuns: RUNS,
      interruptAfterTimeLimit: SECONDS * 1_000 / 3,
    });
    const text = JSON.stringify({ name, seed: SEED, ...totals });
    process.stdout.write(`raft fuzz: ${text}\n`);
    expect(totals.answers).toBeGreaterThan(totals.runs);
  }, SECONDS * 1_000 + 60_000);
});
