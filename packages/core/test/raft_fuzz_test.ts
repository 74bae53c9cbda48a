import fc from "fast-check";
import process from "node:process";
import { describe, expect, test } from "vitest";
import { type Action, Simulation } from "./raft_simulation.ts";

/** Length of the whole run in seconds; `RAFT_FUZZ_SECONDS=300 RAFT_FUZZ_SEED=1` makes a long one. */
const SECONDS = Number(process.env["RAFT_FUZZ_SECONDS"] ?? 12);
const SEED = Number(process.env["RAFT_FUZZ_SEED"] ?? 20_140_619);
const RUNS = process.env["RAFT_FUZZ_SECONDS"] === undefined ? 300 : 1_000_000;

const node = fc.nat({ max: 7 });
const seed = fc.integer();

function action(): fc.Arbitrary<Action> {
  const run = fc.record({
    kind: fc.constant("run" as const),
    steps: fc.integer({ min: 1, max: 30 }),
    seed,
    lossPercent: fc.constantFrom(0, 5, 20),
  });
  const write = fc.record({
    kind: fc.constant("write" as const),
    node,
    count: fc.integer({ min: 1, max: 4 }),
  });
  const read = fc.record({
    kind: fc.constant("read" as const),
    node,
    via: node,
  });
  const crash = fc.record({
    kind: fc.constant("crash" as const),
    node,
    kept: fc.nat({ max: 9 }),
  });
  const transfer = fc.record({
    kind: fc.constant("transfer" as const),
    node,
    to: node,
  });
  const partition = fc.record({
    kind: fc.constant("partition" as const),
    mask: fc.nat({ max: 255 }),
  });
  const cut = fc.record({
    kind: fc.constant("cut_one_way" as const),
    from: node,
    to: node,
  });
  const compact = fc.record({
    kind: fc.constant("compact" as const),
    node,
    kept: fc.boolean(),
  });
  return fc.oneof(
    { arbitrary: run, weight: 10 },
    { arbitrary: write, weight: 8 },
    { arbitrary: read, weight: 5 },
    { arbitrary: crash, weight: 3 },
    { arbitrary: atNode("restart"), weight: 4 },
    { arbitrary: atNode("lose_disk"), weight: 1 },
    { arbitrary: alone("repair"), weight: 4 },
    { arbitrary: atNode("remove"), weight: 1 },
    { arbitrary: transfer, weight: 2 },
    { arbitrary: partition, weight: 2 },
    { arbitrary: cut, weight: 1 },
    { arbitrary: alone("heal"), weight: 3 },
    { arbitrary: compact, weight: 3 },
    { arbitrary: atNode("stall"), weight: 1 },
    { arbitrary: atNode("freeze"), weight: 1 },
  );
}

function atNode<
  K extends "restart" | "lose_disk" | "remove" | "stall" | "freeze",
>(
  kind: K,
): fc.Arbitrary<Action> {
  return fc.record({ kind: fc.constant(kind), node }) as fc.Arbitrary<Action>;
}

function alone(kind: "repair" | "heal"): fc.Arbitrary<Action> {
  return fc.constant({ kind });
}

describe.each([3, 5])("a group of %i replicas under faults", (size) => {
  test("keeps the safety properties of Raft and answers linearizably", () => {
    let runs = 0;
    let entries = 0;
    let operations = 0;
    const property = fc.property(
      seed,
      fc.array(action(), { minLength: 20, maxLength: 150, size: "max" }),
      (start, actions) => {
        const simulation = new Simulation(size, start);
        actions.forEach((next) => simulation.perform(next));
        simulation.finish();
        runs += 1;
        entries += simulation.applied;
        operations += simulation.checker.completed;
      },
    );
    fc.assert(property, {
      seed: SEED + size,
      numRuns: RUNS,
      interruptAfterTimeLimit: SECONDS * 500,
    });
    process.stdout.write(
      `raft fuzz: ${size} replicas, seed ${SEED}, ${runs} runs, ` +
        `${entries} entries committed, ${operations} operations answered\n`,
    );
    expect(operations).toBeGreaterThan(runs);
  }, SECONDS * 1_000 + 60_000);
});
