/**
 * Usage of each service at this entry, for renewals and metrics.
 *
 * @module
 */
import type { Renewal } from "@quetzalcove/core";
import type { Metrics } from "../observe/metrics.ts";

type ServiceUsage = Renewal["usage"][string];

const HTTP_UNAVAILABLE = 503;
const MIN_HTTP_SERVER_ERROR = 500;

export class Usage {
  readonly #metrics: Metrics;
  readonly #usages = new Map<string, ServiceUsage>();

  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  requestStarted(service: string): void {
    this.#usageOf(service).inFlight += 1;
  }

  requestEnded(service: string, status: number): void {
    const use = this.#usageOf(service);
    use.inFlight -= 1;
    const outcome = outcomeOf(status);
    use[outcome] += 1;
    this.#metrics.count("quetzalcove_requests_total", { service, outcome });
  }

  /** Returns the usage of each service; ended requests are counted since the start of the process. */
  read(): Record<string, ServiceUsage> {
    return Object.fromEntries(
      [...this.#usages].map(([service, use]) => [service, { ...use }]),
    );
  }

  #usageOf(service: string): ServiceUsage {
    let use = this.#usages.get(service);
    if (use === undefined) {
      use = { inFlight: 0, queued: 0, finished: 0, refused: 0, failed: 0 };
      this.#usages.set(service, use);
    }
    return use;
  }
}

function outcomeOf(status: number): "finished" | "refused" | "failed" {
  if (status === HTTP_UNAVAILABLE) {
    return "refused";
  }
  return status >= MIN_HTTP_SERVER_ERROR ? "failed" : "finished";
}
