/**
 * Straight lines through measurements at several sizes.
 *
 * @module
 */
import {
  linearRegression,
  linearRegressionLine,
  rSquared,
} from "simple-statistics";

/** A measured quantity at one size. */
export interface Sample {
  size: number;
  value: number;
}

/** A line fitted by least squares, and how well it fits. */
export interface Fit {
  /** Value at size 0. */
  base: number;
  /** Growth for each unit of size. */
  slope: number;
  /** Coefficient of determination. */
  r2: number;
  /** Largest distance of a sample from the line, as a share of the largest value. */
  worstShare: number;
  /** Value on the line at a size. */
  at: (size: number) => number;
}

/** Fits a line through the samples. */
export function fit(samples: readonly Sample[]): Fit {
  const points = samples.map(({ size, value }) =>
    [size, value] as [number, number]
  );
  const { m, b } = linearRegression(points);
  const at = linearRegressionLine({ m, b });
  const largest = Math.max(
    ...samples.map((sample) => Math.abs(sample.value)),
    Number.EPSILON,
  );
  const worst = Math.max(
    ...samples.map(({ size, value }) => Math.abs(value - at(size))),
  );
  return {
    base: b,
    slope: m,
    r2: rSquared(points, at),
    worstShare: worst / largest,
    at,
  };
}
