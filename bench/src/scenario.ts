/**
 * The shape of a bench scenario: what it measures, and the checks that compare a measurement with its target.
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
  /** The target, as it is written for the reader, for example `at most 8`. */
  target: string;
  measured: string;
  met: boolean;
}

/** A plot as a Vega-Lite specification without its schema and size. */
export interface Plot {
  name: string;
  specification: Record<string, unknown>;
}

/** What one run of a scenario produced. */
export interface Outcome {
  tables: readonly Table[];
  checks: readonly Check[];
  plots?: readonly Plot[];
}

/** What a scenario is run with. */
export interface Run {
  seed: number;
  /** Runs a shorter version whose figures are not for reports. */
  quick: boolean;
  /** A monotonic clock in milliseconds, for measuring processor time. */
  clock: () => number;
}

/** A named measurement that the command can run. */
export interface Scenario {
  name: string;
  description: string;
  run: (run: Run) => Promise<Outcome> | Outcome;
}

/** A check that a measurement is at most a bound. */
export function atMost(name: string, measured: number, bound: number): Check {
  return {
    name,
    target: `at most ${decimal(bound)}`,
    measured: decimal(measured, CHECK_DIGITS),
    met: measured <= bound,
  };
}

/** A check that a measurement is at least a bound. */
export function atLeast(name: string, measured: number, bound: number): Check {
  return {
    name,
    target: `at least ${decimal(bound)}`,
    measured: decimal(measured, CHECK_DIGITS),
    met: measured >= bound,
  };
}

const TABLE_DIGITS = 4;

/** Checks show more digits, so that a figure near its bound does not look as if it were on the other side. */
const CHECK_DIGITS = 6;

/** Writes a number with few significant digits. */
export function decimal(value: number, digits: number = TABLE_DIGITS): string {
  if (Number.isInteger(value)) {
    return String(value);
  }
  return String(Number(value.toPrecision(digits)));
}
