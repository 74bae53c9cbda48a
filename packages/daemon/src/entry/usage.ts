/**
 * Use of each service at this entry, for renewals and metrics.
 *
 * @module
 */
import type { Renewal } from "@quetzalcove/core";
import type { Metrics } from "../observe/metrics.ts";

type ServiceUse = Renewal["usage"][string];

const HTTP_UNAVAILABLE = 503;
const HTTP_ERROR = 500;

export class Usage {
  readonly #metrics: Metrics;
  readonly #uses = new Map<string, ServiceUse>();

  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  entered(service: string): void {
    this.#of(service).inFlight += 1;
  }

  left(service: string, status: number): void {
    const use = this.#of(service);
    use.inFlight -= 1;
    const outcome = outcomeOf(status);
    use[outcome] += 1;
    this.#metrics.count("quetzalcove_requests_total", { service, outcome });
  }

  /** The use of each service; ends of requests count from the start of the process. */
  read(): Record<string, ServiceUse> {
    return Object.fromEntries(
      [...this.#uses].map(([service, use]) => [service, { ...use }]),
    );
  }

  #of(service: string): ServiceUse {
    let use = this.#uses.get(service);
    if (use === undefined) {
      use = { inFlight: 0, queued: 0, finished: 0, refused: 0, failed: 0 };
      this.#uses.set(service, use);
    }
    return use;
  }
}

function outcomeOf(status: number): "finished" | "refused" | "failed" {
  if (status === HTTP_UNAVAILABLE) {
    return "refused";
  }
  return status >= HTTP_ERROR ? "failed" : "finished";
}
