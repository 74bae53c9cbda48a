/**
 * Linear regression of measurements at several sizes.
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

/** A line fitted by least squares, and its goodness of fit. */
export interface LinearFit {
  /** Value at size 0. */
  intercept: number;
  /** Growth per unit of size. */
  slope: number;
  /** Coefficient of determination. */
  r2: number;
  /** Largest distance of a sample from the line, as a share of the largest absolute value. */
  maxResidualShare: number;
  /** Value on the line at a size. */
  predict: (size: number) => number;
}

/** Fits a line to the samples. */
export function fitLine(samples: readonly Sample[]): LinearFit {
  const points = samples.map(({ size, value }) =>
    [size, value] as [number, number]
  );
  const { m, b } = linearRegression(points);
  const predict = linearRegressionLine({ m, b });
  const largest = Math.max(
    ...samples.map((sample) => Math.abs(sample.value)),
    Number.EPSILON,
  );
  const maxResidual = Math.max(
    ...samples.map(({ size, value }) => Math.abs(value - predict(size))),
  );
  return {
    intercept: b,
    slope: m,
    r2: rSquared(points, predict),
    maxResidualShare: maxResidual / largest,
    predict,
  };
}
