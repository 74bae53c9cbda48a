/**
 * What is recorded about the requests of one run.
 *
 * @module
 */
import type { Priority } from "@quetzalcove/core";
import { build, type Histogram } from "hdr-histogram-js";

/** How a request ended for its caller. */
export type Ending = "ok" | "late" | "refused" | "failed" | "lost";

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

const STEPS_PER_MS = 100;

/** A refusal within this time was made when the request arrived. */
const AT_ONCE_MS = 5;
const SLICE_MS = 1_000;

/** Counts and latencies of one run, from the end of its warm-up on, but for overnight work from the start. */
export class Measures {
  readonly from: number;
  readonly until: number;
  offered = 0;
  sends = 0;
  retries = 0;
  readonly endings: Record<Ending, number> = {
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
  /** Requests refused without waiting. */
  readonly refusedAtOnce: Record<Priority, number> = {
    urgent: 0,
    live: 0,
    overnight: 0,
  };
  /** Requests answered in time, by the second in which they were sent. */
  readonly okBySecond: number[] = [];
  readonly okByService = new Map<string, number>();
  readonly #live: Histogram = build({ lowestDiscernibleValue: 1 });
  readonly #refusals: Histogram = build({ lowestDiscernibleValue: 1 });

  constructor(from: number, until: number) {
    this.from = from;
    this.until = until;
  }

  offer(request: SimulatedRequest): void {
    if (this.#counts(request)) {
      this.offered += 1;
      this.offeredByClass[request.priority] += 1;
    }
  }

  /** Records how a request ended; later endings of the same request do not count. */
  end(request: SimulatedRequest, ending: Ending, now: number): void {
    if (request.ended) {
      return;
    }
    request.ended = true;
    if (!this.#counts(request)) {
      return;
    }
    const late = ending === "ok" && now > request.deadline;
    this.endings[late ? "late" : ending] += 1;
    const steps = Math.round((now - request.sentAt) * STEPS_PER_MS);
    if (ending === "refused") {
      this.#refusals.recordValue(steps);
      if (now - request.sentAt < AT_ONCE_MS) {
        this.refusedAtOnce[request.priority] += 1;
      }
    }
    if (ending === "ok" && !late) {
      this.#recordAnswer(request, steps);
    }
  }

  /** Latency of urgent and live answers at a percentile, in milliseconds. */
  liveMs(percentile: number): number {
    return this.#live.getValueAtPercentile(percentile) / STEPS_PER_MS;
  }

  /** Time to a refusal at a percentile, in milliseconds. */
  refusalMs(percentile: number): number {
    return this.#refusals.getValueAtPercentile(percentile) / STEPS_PER_MS;
  }

  /** Requests answered in time, a second. */
  get goodput(): number {
    return this.endings.ok * SLICE_MS / (this.until - this.from);
  }

  #recordAnswer(request: SimulatedRequest, steps: number): void {
    const second = Math.floor(request.sentAt / SLICE_MS);
    this.okBySecond[second] = (this.okBySecond[second] ?? 0) + 1;
    this.okByClass[request.priority] += 1;
    const answered = this.okByService.get(request.service) ?? 0;
    this.okByService.set(request.service, answered + 1);
    if (request.priority !== "overnight") {
      this.#live.recordValue(steps);
    }
  }

  #counts(request: SimulatedRequest): boolean {
    const measured = request.sentAt >= this.from &&
      request.sentAt < this.until;
    return measured || request.priority === "overnight";
  }
}
