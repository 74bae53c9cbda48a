/**
 * Counts and latencies of the requests of one trial.
 *
 * @module
 */
import type { Priority } from "@quetzalcove/core";
import { build, type Histogram } from "hdr-histogram-js";

/** Outcome of a request as seen by its caller. */
export type RequestOutcome = "ok" | "late" | "refused" | "failed" | "lost";

/** One simulated request. */
export interface SimulatedRequest {
  id: string;
  service: string;
  priority: Priority;
  sentAt: number;
  deadline: number;
  repeatable: boolean;
  runMs: number;
  ended: boolean;
}

const HISTOGRAM_STEPS_PER_MS = 100;

/** A refusal within this time counts as immediate, that is, made on arrival. */
const IMMEDIATE_REFUSAL_MS = 5;
const MS_PER_SECOND = 1_000;

/** Counts and latencies of one trial: overnight work from the start, all other requests after the warm-up. */
export class Measures {
  readonly from: number;
  readonly until: number;
  offered = 0;
  sends = 0;
  retries = 0;
  readonly outcomes: Record<RequestOutcome, number> = {
    ok: 0,
    late: 0,
    refused: 0,
    failed: 0,
    lost: 0,
  };
  readonly okByClass: Record<Priority, number> = {
    urgent: 0,
    live: 0,
    overnight: 0,
  };
  readonly offeredByClass: Record<Priority, number> = {
    urgent: 0,
    live: 0,
    overnight: 0,
  };
  /** Requests refused on arrival, by class. */
  readonly refusedImmediately: Record<Priority, number> = {
    urgent: 0,
    live: 0,
    overnight: 0,
  };
  /** Requests answered before their deadline, by the second in which they were sent. */
  readonly okBySecond: number[] = [];
  readonly okByService = new Map<string, number>();
  readonly #live: Histogram = build({ lowestDiscernibleValue: 1 });
  readonly #refusals: Histogram = build({ lowestDiscernibleValue: 1 });

  constructor(from: number, until: number) {
    this.from = from;
    this.until = until;
  }

  offer(request: SimulatedRequest): void {
    if (this.#isMeasured(request)) {
      this.offered += 1;
      this.offeredByClass[request.priority] += 1;
    }
  }

  /** Records the outcome of a request; only the first one counts. */
  end(request: SimulatedRequest, outcome: RequestOutcome, now: number): void {
    if (request.ended) {
      return;
    }
    request.ended = true;
    if (!this.#isMeasured(request)) {
      return;
    }
    const late = outcome === "ok" && now > request.deadline;
    this.outcomes[late ? "late" : outcome] += 1;
    const steps = Math.round((now - request.sentAt) * HISTOGRAM_STEPS_PER_MS);
    if (outcome === "refused") {
      this.#refusals.recordValue(steps);
      if (now - request.sentAt < IMMEDIATE_REFUSAL_MS) {
        this.refusedImmediately[request.priority] += 1;
      }
    }
    if (outcome === "ok" && !late) {
      this.#recordAnswer(request, steps);
    }
  }

  /** Latency of urgent and live answers at a percentile, in milliseconds. */
  liveMs(percentile: number): number {
    return this.#live.getValueAtPercentile(percentile) / HISTOGRAM_STEPS_PER_MS;
  }

  /** Time to a refusal at a percentile, in milliseconds. */
  refusalMs(percentile: number): number {
    return this.#refusals.getValueAtPercentile(percentile) /
      HISTOGRAM_STEPS_PER_MS;
  }

  /** Requests answered before their deadline, per second. */
  get goodput(): number {
    return this.outcomes.ok * MS_PER_SECOND / (this.until - this.from);
  }

  #recordAnswer(request: SimulatedRequest, steps: number): void {
    const second = Math.floor(request.sentAt / MS_PER_SECOND);
    this.okBySecond[second] = (this.okBySecond[second] ?? 0) + 1;
    this.okByClass[request.priority] += 1;
    const answered = this.okByService.get(request.service) ?? 0;
    this.okByService.set(request.service, answered + 1);
    if (request.priority !== "overnight") {
      this.#live.recordValue(steps);
    }
  }

  #isMeasured(request: SimulatedRequest): boolean {
    const measured = request.sentAt >= this.from &&
      request.sentAt < this.until;
    return measured || request.priority === "overnight";
  }
}
