/**
 * Overnight work beside live work: it uses the slots that live work leaves free and ends by its deadline.
 *
 * @module
 */
import { atLeast, atMost, type Outcome, type RunOptions } from "../scenario.ts";
import { mean } from "./loads.ts";
import { LEASED } from "./strategies.ts";
import { runTrial, type Trial } from "./trial.ts";

const LIVE_LOADS = [0.5, 0.7, 0.9, 3] as const;
const OVERNIGHT_LOADS = [0, 0.25, 1] as const;
const SEEDS = 2;
const WARM_UP_MS = 5_000;
const DURATION_MS = 15_000;
const MAX_LATENCY_RATIO = 2;

interface OvernightResult {
  live: number;
  overnight: number;
  trials: Trial[];
}

/** Runs overnight work beside live work at several loads. */
export function benchOvernight(run: RunOptions): Outcome {
  const seeds = run.quick ? 1 : SEEDS;
  const results = LIVE_LOADS.flatMap((live) =>
    OVERNIGHT_LOADS.map((overnight) => ({
      live,
      overnight,
      trials: Array.from({ length: seeds }, (_, index) =>
        runTrial(LEASED, {
          seed: run.seed + index,
          load: live,
          warmUpMs: WARM_UP_MS,
          durationMs: DURATION_MS,
          ...(overnight > 0 ? { overnightLoad: overnight } : {}),
        })),
    }))
  );
  return {
    tables: [{
      name: "overnight work beside live work, due when the run ends",
      columns: [
        "live load",
        "overnight load",
        "live goodput",
        "live p50 ms",
        "live p99 ms",
        "overnight done/s",
        "overnight accepted",
        "done by its hour",
        "given up",
      ],
      rows: results.map((result) => [
        result.live,
        result.overnight,
        mean(result.trials, liveGoodput),
        mean(result.trials, ({ measures }) => measures.liveMs(50)),
        mean(result.trials, ({ measures }) => measures.liveMs(99)),
        mean(result.trials, overnightRate),
        mean(result.trials, accepted),
        mean(result.trials, ({ measures }) => measures.okByClass.overnight),
        mean(result.trials, missedDeadline),
      ]),
    }],
    checks: results.filter((r) => r.overnight > 0).flatMap((result) => {
      const liveOnly = results.find((r) =>
        r.live === result.live && r.overnight === 0
      ) as OvernightResult;
      const where = `live ${result.live}, overnight ${result.overnight}`;
      const p99 = (t: Trial): number => t.measures.liveMs(99);
      const done = (t: Trial): number => t.measures.okByClass.overnight;
      return [
        atMost(
          `${where}: live p99 over that without overnight work`,
          mean(result.trials, p99) / mean(liveOnly.trials, p99),
          MAX_LATENCY_RATIO,
        ),
        atLeast(
          `${where}: accepted overnight work done by its hour`,
          mean(result.trials, done) /
            Math.max(1, mean(result.trials, accepted)),
          1,
        ),
      ];
    }),
  };
}

function perSecond(count: number, { measures }: Trial): number {
  return count * 1_000 / (measures.until - measures.from);
}

function liveGoodput(trial: Trial): number {
  const { urgent, live } = trial.measures.okByClass;
  return perSecond(urgent + live, trial);
}

function overnightRate(trial: Trial): number {
  const { okByClass, until } = trial.measures;
  return okByClass.overnight * 1_000 / until;
}

/** Overnight requests that were not refused on arrival. */
function accepted({ measures }: Trial): number {
  return measures.offeredByClass.overnight -
    measures.refusedImmediately.overnight;
}

/** Overnight requests that were accepted but not answered by their deadline. */
function missedDeadline(trial: Trial): number {
  return accepted(trial) - trial.measures.okByClass.overnight;
}
