/**
 * Counters, gauges and HDR histograms, exported in the Prometheus text format.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";

export type Labels = Record<string, string>;

const QUANTILES = [50, 90, 99, 99.9] as const;

/** Highest duration that a histogram tracks: ten minutes. Longer ones are recorded as this. */
const MAX_DURATION_US = 600_000_000;

/** One value of a metric that is collected on export. */
export interface Sample {
  name: string;
  type: "counter" | "gauge";
  labels: Labels;
  value: number;
}

interface Series<T> {
  values: Map<string, T>;
}

export class Metrics {
  readonly #counters = new Map<string, Series<number>>();
  readonly #gauges = new Map<string, Series<() => number>>();
  readonly #histograms = new Map<string, Series<Histogram>>();
  readonly #collectors: (() => Iterable<Sample>)[] = [];

  /** Adds to a counter. */
  count(name: string, labels: Labels = {}, by = 1): void {
    const series = getOrCreateSeries(this.#counters, name);
    const key = formatLabels(labels);
    series.values.set(key, (series.values.get(key) ?? 0) + by);
  }

  /** Returns a function that adds to one counter, which avoids a lookup for counters that change often. */
  counter(name: string, labels: Labels = {}): (by: number) => void {
    const { values } = getOrCreateSeries(this.#counters, name);
    const key = formatLabels(labels);
    return (by) => values.set(key, (values.get(key) ?? 0) + by);
  }

  /** Registers a gauge, which is read on each export. */
  gauge(name: string, read: () => number, labels: Labels = {}): void {
    getOrCreateSeries(this.#gauges, name).values.set(
      formatLabels(labels),
      read,
    );
  }

  /** Registers metrics whose labels change; they are read on each export, ordered by name. */
  collect(read: () => Iterable<Sample>): void {
    this.#collectors.push(read);
  }

  /** Records a duration in milliseconds in a histogram. */
  observe(name: string, durationMs: number, labels: Labels = {}): void {
    const series = getOrCreateSeries(this.#histograms, name);
    const key = formatLabels(labels);
    let histogram = series.values.get(key);
    if (histogram === undefined) {
      histogram = build({
        bitBucketSize: 32,
        numberOfSignificantValueDigits: 2,
        highestTrackableValue: MAX_DURATION_US,
      });
      series.values.set(key, histogram);
    }
    histogram.recordValue(
      Math.min(MAX_DURATION_US, Math.max(1, Math.round(durationMs * 1_000))),
    );
  }

  /** Exports all metrics. Durations are in seconds. */
  text(): string {
    return [
      ...this.#counterLines(),
      ...this.#gaugeLines(),
      ...this.#collectedLines(),
      ...this.#histogramLines(),
      "",
    ].join("\n");
  }

  *#counterLines(): Generator<string> {
    for (const [name, series] of this.#counters) {
      yield `# TYPE ${name} counter`;
      for (const [labels, value] of series.values) {
        yield `${name}${inBraces(labels)} ${value}`;
      }
    }
  }

  *#gaugeLines(): Generator<string> {
    for (const [name, series] of this.#gauges) {
      yield `# TYPE ${name} gauge`;
      for (const [labels, read] of series.values) {
        yield `${name}${inBraces(labels)} ${read()}`;
      }
    }
  }

  *#collectedLines(): Generator<string> {
    for (const read of this.#collectors) {
      let lastName = "";
      for (const { name, type, labels, value } of read()) {
        if (name !== lastName) {
          yield `# TYPE ${name} ${type}`;
          lastName = name;
        }
        yield `${name}${inBraces(formatLabels(labels))} ${value}`;
      }
    }
  }

  *#histogramLines(): Generator<string> {
    for (const [name, series] of this.#histograms) {
      yield `# TYPE ${name} summary`;
      for (const [labels, histogram] of series.values) {
        for (const quantile of QUANTILES) {
          const seconds = histogram.getValueAtPercentile(quantile) / 1e6;
          const all = [labels, `quantile="${quantile / 100}"`].filter((part) =>
            part !== ""
          );
          yield `${name}{${all.join(",")}} ${seconds}`;
        }
        yield `${name}_count${inBraces(labels)} ${histogram.totalCount}`;
        yield `${name}_sum${inBraces(labels)} ${
          (histogram.mean * histogram.totalCount || 0) / 1e6
        }`;
      }
    }
  }
}

function getOrCreateSeries<T>(
  all: Map<string, Series<T>>,
  name: string,
): Series<T> {
  let series = all.get(name);
  if (series === undefined) {
    series = { values: new Map() };
    all.set(name, series);
  }
  return series;
}

function formatLabels(labels: Labels): string {
  return Object.entries(labels)
    .map(([key, value]) =>
      `${key}="${value.replace(/(["\\])/g, "\\$1").replace(/\n/g, "\\n")}"`
    )
    .join(",");
}

function inBraces(labels: string): string {
  return labels === "" ? "" : `{${labels}}`;
}
