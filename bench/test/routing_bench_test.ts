import { expect, test } from "vitest";
import { formatReport } from "../src/report.ts";
import { LEASED } from "../src/routing/strategies.ts";
import { runTrial } from "../src/routing/trial.ts";
import { atLeast, atMost } from "../src/scenario.ts";

function endingsOf(seed: number): Record<string, number> {
  const setup = { seed, load: 1, warmUpMs: 500, durationMs: 500 };
  return runTrial(LEASED, setup).measures.outcomes;
}

test("a trial is the same each time for a seed and differs between seeds", () => {
  expect(endingsOf(7)).toEqual(endingsOf(7));
  expect(endingsOf(7)).not.toEqual(endingsOf(8));
});

test("every request that was offered ends exactly once", () => {
  const setup = { seed: 3, load: 1.5, warmUpMs: 0, durationMs: 1_000 };
  const { measures } = runTrial(LEASED, setup);
  const ended = Object.values(measures.outcomes).reduce((a, b) => a + b, 0);
  expect(ended).toBe(measures.offered);
});

test("a report says plainly which checks were not met", () => {
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
