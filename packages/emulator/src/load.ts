/**
 * Load generator: sends requests through all entries and checks each answer against its request.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { build } from "hdr-histogram-js";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { Pool } from "undici";
import { DIGEST_HEADER, digestOf } from "./target.ts";

/** Options of a load. */
export interface LoadOptions {
  entries: readonly string[];
  services: readonly string[];
  requests: number;
  /** Maximum number of requests in progress. */
  concurrency: number;
  seed: number;
}

/** Result of a load. */
export interface LoadReport {
  requests: number;
  /** Number of requests by the outcome header, or else by the status code or `connection lost`. */
  outcomes: Record<string, number>;
  /** Number of answers with outcome `done` whose digest differs from that of their request. */
  mismatched: number;
  p50Ms: number;
  p99Ms: number;
  /** Id of the trace of the first answer that has one. */
  trace: string | undefined;
}

const SIGNIFICANT_DIGITS = 3;
/** Every nth request must not be repeated and has an idempotency key. */
const KEYED_REQUEST_INTERVAL = 4;

/** Sends the load; resolves once every request has been answered or failed. */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
  const random = xoroshiro128plus(options.seed);
  const histogram = build({
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  const pools = options.entries.map((entry) =>
    new Pool(`http://${entry}`, { connections: options.concurrency })
  );
  const report: LoadReport = {
    requests: 0,
    outcomes: {},
    mismatched: 0,
    p50Ms: 0,
    p99Ms: 0,
    trace: undefined,
  };
  const worker = async (): Promise<void> => {
    while (report.requests < options.requests) {
      const number = report.requests;
      report.requests += 1;
      const pool = pools[number % pools.length];
      const service =
        options.services[uniformInt(random, 0, options.services.length - 1)];
      if (pool !== undefined && service !== undefined) {
        const startedAt = performance.now();
        await sendRequest(
          pool,
          { service, number, seed: options.seed },
          report,
        );
        histogram.recordValue(
          Math.max(1, Math.round((performance.now() - startedAt) * 1_000)),
        );
      }
    }
  };
  await Promise.all(Array.from({ length: options.concurrency }, worker));
  await Promise.all(pools.map((pool) => pool.close()));
  report.p50Ms = histogram.getValueAtPercentile(50) / 1_000;
  report.p99Ms = histogram.getValueAtPercentile(99) / 1_000;
  return report;
}

async function sendRequest(
  pool: Pool,
  { service, number, seed }: { service: string; number: number; seed: number },
  report: LoadReport,
): Promise<void> {
  const isKeyed = number % KEYED_REQUEST_INTERVAL === 0;
  const path = `/reports/${seed}/${number}`;
  const body = Buffer.from(isKeyed ? JSON.stringify({ estimate: number }) : "");
  try {
    const answer = await pool.request({
      method: isKeyed ? "POST" : "GET",
      path: `/${service}${path}`,
      body: isKeyed ? body : null,
      headers: isKeyed ? { "idempotency-key": `${seed}-${number}` } : {},
    });
    const text = await answer.body.text();
    const outcome = String(
      answer.headers["x-quetzalcove-outcome"] ?? `status ${answer.statusCode}`,
    );
    countOutcome(report, outcome);
    const digest = answer.headers[DIGEST_HEADER];
    if (
      outcome === "done" &&
      (digest !== digestOf(path, body) || !text.includes(String(digest)))
    ) {
      report.mismatched += 1;
    }
    report.trace ??= answer.headers["x-quetzalcove-trace"]?.toString();
  } catch {
    countOutcome(report, "connection lost");
  }
}

function countOutcome(report: LoadReport, outcome: string): void {
  report.outcomes[outcome] = (report.outcomes[outcome] ?? 0) + 1;
}
