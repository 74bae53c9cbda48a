/**
 * Asks the advisor which workers may run steps of advised queues, one call after the other.
 *
 * @module
 */
import type { WaitingStep, Worker } from "@quetzalcove/core/scheduling";
import type { Clock } from "../clock.ts";
import type { Log } from "../observe/log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { AdviceCalls } from "./ports.ts";

/** What the desk needs. */
export interface PermitCacheParts {
  calls: AdviceCalls;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  /** Called when advice arrived. */
  onChange: () => void;
}

interface Permit {
  text: string;
  validUntil: number;
}

/** What is known about one step. */
interface StepAdvice {
  /** Workers that were asked about; what may run a step does not change. */
  asked: Set<string>;
  permits: Map<string, Permit>;
}

/** Workers named in one call; the advisor takes longer for each. */
const MAX_WORKERS_PER_CALL = 30;

/** Part of a permit's validity that is kept for the way of the order, in milliseconds: a slow round trip. */
const DELIVERY_MARGIN_MS = 300;

/** Pause after a call without advice, in milliseconds: the advisor's queue may be full. */
const RETRY_BACKOFF_MS = 200;

export class PermitCache {
  readonly #parts: PermitCacheParts;
  readonly #steps = new Map<string, StepAdvice>();
  #isCallPending = false;
  #retryAt = -Infinity;

  constructor(parts: PermitCacheParts) {
    this.#parts = parts;
  }

  /** The permit of a worker for a step, while it is valid. */
  permit(step: string, worker: string, now: number): string | undefined {
    const permit = this.#steps.get(step)?.permits.get(worker);
    return permit !== undefined && now < permit.validUntil
      ? permit.text
      : undefined;
  }

  /** Asks about the most urgent step that no worker with room may run yet; drops steps that wait no more. */
  requestMissing(
    inOrder: readonly WaitingStep[],
    candidates: (step: WaitingStep) => readonly Worker[],
    isWaiting: (step: string) => boolean,
    now: number,
  ): void {
    if (this.#isCallPending || now < this.#retryAt) {
      return;
    }
    for (const step of inOrder) {
      if (step.job.terms.advised) {
        const workers = this.#workersToAsk(step, candidates(step), now);
        if (workers.length > 0) {
          void this.#request(step.name, workers);
          return;
        }
      }
    }
    for (const name of this.#steps.keys()) {
      if (!isWaiting(name)) {
        this.#steps.delete(name);
      }
    }
  }

  /** Workers to ask about: none while one of the candidates has a valid permit. */
  #workersToAsk(
    { name }: WaitingStep,
    candidates: readonly Worker[],
    now: number,
  ): string[] {
    const ids = candidates.map(({ id }) => id);
    if (ids.some((id) => this.permit(name, id, now) !== undefined)) {
      return [];
    }
    const known = this.#steps.get(name);
    const notAsked = ids.filter((id) => known?.asked.has(id) !== true);
    const renewable = ids.filter((id) => known?.permits.has(id) === true);
    return [...renewable, ...notAsked].slice(0, MAX_WORKERS_PER_CALL);
  }

  async #request(step: string, workers: string[]): Promise<void> {
    const { calls, clock, log, metrics, onChange } = this.#parts;
    this.#isCallPending = true;
    const askedAt = clock.monotonic();
    const advice = await calls.advise(step, workers);
    const now = clock.monotonic();
    this.#isCallPending = false;
    metrics.observe("quetzalcove_advice_seconds", now - askedAt);
    log.info("step.advised", {
      step,
      asked: workers.length,
      permitted: advice?.permits.size,
      took: Math.round(now - askedAt),
    });
    if (advice === undefined) {
      this.#retryAt = now + RETRY_BACKOFF_MS;
      return;
    }
    const known = this.#steps.get(step) ??
      { asked: new Set(), permits: new Map() };
    workers.forEach((worker) => known.asked.add(worker));
    for (const [worker, text] of advice.permits) {
      // Validity counts from some moment after the question was sent.
      const validUntil = askedAt + advice.validityMs - DELIVERY_MARGIN_MS;
      known.permits.set(worker, { text, validUntil });
    }
    this.#steps.set(step, known);
    onChange();
  }
}
