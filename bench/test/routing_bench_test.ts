import { expect, test } from "vitest";
import { formatReport } from "../src/report.ts";
import { LEASED } from "../src/routing/strategies.ts";
import { runTrial } from "../src/routing/trial.ts";
import { atLeast, atMost } from "../src/scenario.ts";

function outcomesOf(seed: number): Record<string, number> {
  const setup = { seed, load: 1, warmUpMs: 500, durationMs: 500 };
  return runTrial(LEASED, setup).measures.outcomes;
}

test("a trial is reproducible from its seed and differs between seeds", () => {
  expect(outcomesOf(7)).toEqual(outcomesOf(7));
  expect(outcomesOf(7)).not.toEqual(outcomesOf(8));
});

test("every offered request has exactly one outcome", () => {
  const setup = { seed: 3, load: 1.5, warmUpMs: 0, durationMs: 1_000 };
  const { measures } = runTrial(LEASED, setup);
  const ended = Object.values(measures.outcomes).reduce((a, b) => a + b, 0);
  expect(ended).toBe(measures.offered);
});

test("a report marks the checks that were not met", () => {
  const outcome = {
    tables: [{
      name: "figures",
      columns: ["load", "way"],
      rows: [[1.23456, "a"]],
    }],
    checks: [atMost("most at work", 9, 8), atLeast("goodput", 0.97, 0.95)],
  };
  expect(formatReport({ scenario: "routing", seed: 1, quick: false, outcome }))
    .toMatchInlineSnapshot(`
      "
      figures
      load   way
      -----  ---
      1.235  a


      routing: checks, seed 1
      check         target         measured  result
      ------------  -------------  --------  -------
      most at work  at most 8      9         NOT MET
      goodput       at least 0.95  0.97      met
      "
    `);
});
