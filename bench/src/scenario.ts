/**
 * Types of a bench scenario: its results, and the checks that compare a measurement with its target.
 *
 * @module
 */

/** A cell of a table. */
export type Cell = string | number;

/** One table of a scenario's result. */
export interface Table {
  name: string;
  columns: readonly string[];
  rows: readonly (readonly Cell[])[];
}

/** One comparison of a measurement with its target. */
export interface Check {
  name: string;
  /** The target as displayed, for example `at most 8`. */
  target: string;
  measured: string;
  met: boolean;
}

/** A plot: a Vega-Lite specification without schema and size. */
export interface Plot {
  name: string;
  specification: Record<string, unknown>;
}

/** Results of one run of a scenario. */
export interface Outcome {
  tables: readonly Table[];
  checks: readonly Check[];
  plots?: readonly Plot[];
}

/** Options of a run. */
export interface RunOptions {
  seed: number;
  /** Whether to run a short version, whose results are not representative. */
  quick: boolean;
  /** Monotonic clock in milliseconds, for measuring durations. */
  clock: () => number;
}

/** A named measurement that the bench command can run. */
export interface Scenario {
  name: string;
  description: string;
  run: (run: RunOptions) => Promise<Outcome> | Outcome;
}

/** Checks that a measurement is at most a bound. */
export function atMost(name: string, measured: number, bound: number): Check {
  return {
    name,
    target: `at most ${formatNumber(bound)}`,
    measured: formatNumber(measured, CHECK_DIGITS),
    met: measured <= bound,
  };
}

/** Checks that a measurement is at least a bound. */
export function atLeast(name: string, measured: number, bound: number): Check {
  return {
    name,
    target: `at least ${formatNumber(bound)}`,
    measured: formatNumber(measured, CHECK_DIGITS),
    met: measured >= bound,
  };
}

const TABLE_DIGITS = 4;

/** Checks show more digits, so that rounding does not move a value near its bound to the other side. */
const CHECK_DIGITS = 6;

/** Formats a number with few significant digits. */
export function formatNumber(
  value: number,
  digits: number = TABLE_DIGITS,
): string {
  if (Number.isInteger(value)) {
    return String(value);
  }
  return String(Number(value.toPrecision(digits)));
}
