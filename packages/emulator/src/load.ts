/**
 * Load from outside: requests through all entries, each answer matched to its request.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { build } from "hdr-histogram-js";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { Pool } from "undici";
import { DIGEST_HEADER, digestOf } from "./target.ts";

/** What a load is made of. */
export interface LoadPlan {
  entries: readonly string[];
  services: readonly string[];
  requests: number;
  /** Requests in progress at once. */
  width: number;
  seed: number;
}

/** What came of a load. */
export interface LoadReport {
  requests: number;
  /** Answers by outcome, as the system named it. */
  outcomes: Record<string, number>;
  /** Answers whose digest is not that of their request. */
  mismatched: number;
  p50Ms: number;
  p99Ms: number;
  /** Id of one trace, to look at. */
  trace: string | undefined;
}

const SIGNIFICANT_DIGITS = 3;
const SUBMISSION_SHARE = 4;

/** Sends the load and waits for every answer. */
export async function runLoad(plan: LoadPlan): Promise<LoadReport> {
  const random = xoroshiro128plus(plan.seed);
  const histogram = build({
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  const pools = plan.entries.map((entry) =>
    new Pool(`http://${entry}`, { connections: plan.width })
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
    while (report.requests < plan.requests) {
      const number = report.requests;
      report.requests += 1;
      const pool = pools[number % pools.length];
      const service =
        plan.services[uniformInt(random, 0, plan.services.length - 1)];
      if (pool !== undefined && service !== undefined) {
        const startedAt = performance.now();
        await sendOne(pool, { service, number, seed: plan.seed }, report);
        histogram.recordValue(
          Math.max(1, Math.round((performance.now() - startedAt) * 1_000)),
        );
      }
    }
  };
  await Promise.all(Array.from({ length: plan.width }, worker));
  await Promise.all(pools.map((pool) => pool.close()));
  report.p50Ms = histogram.getValueAtPercentile(50) / 1_000;
  report.p99Ms = histogram.getValueAtPercentile(99) / 1_000;
  return report;
}

/** Every fourth request must not be repeated and carries a key. */
async function sendOne(
  pool: Pool,
  { service, number, seed }: { service: string; number: number; seed: number },
  report: LoadReport,
): Promise<void> {
  const submits = number % SUBMISSION_SHARE === 0;
  const path = `/reports/${seed}/${number}`;
  const body = Buffer.from(submits ? JSON.stringify({ estimate: number }) : "");
  try {
    const answer = await pool.request({
      method: submits ? "POST" : "GET",
      path: `/${service}${path}`,
      body: submits ? body : null,
      headers: submits ? { "idempotency-key": `${seed}-${number}` } : {},
    });
    const text = await answer.body.text();
    const outcome = String(
      answer.headers["x-quetzalcove-outcome"] ?? `status ${answer.statusCode}`,
    );
    count(report, outcome);
    const digest = answer.headers[DIGEST_HEADER];
    if (
      outcome === "done" &&
      (digest !== digestOf(path, body) || !text.includes(String(digest)))
    ) {
      report.mismatched += 1;
    }
    report.trace ??= answer.headers["x-quetzalcove-trace"]?.toString();
  } catch {
    count(report, "connection lost");
  }
}

function count(report: LoadReport, outcome: string): void {
  report.outcomes[outcome] = (report.outcomes[outcome] ?? 0) + 1;
}
