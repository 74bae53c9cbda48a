/**
 * Fetches and caches the advisor's permits: which workers may run the steps of advised queues.
 *
 * @module
 */
import type { WaitingStep, Worker } from "@quetzalcove/core/scheduling";
import type { Clock } from "../clock.ts";
import type { Log } from "../observe/log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { AdvisorClient } from "./platform_clients.ts";

/** Dependencies of the permit cache. */
export interface PermitCacheParts {
  client: AdvisorClient;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  /** Called when advice has arrived. */
  onChange: () => void;
}

interface Permit {
  text: string;
  /** Monotonic time in milliseconds. */
  validUntil: number;
}

/** Advice received for one step. */
interface StepAdvice {
  /** Workers that the advisor was asked about. A refusal is final, so a refused worker is not asked about again. */
  asked: Set<string>;
  permits: Map<string, Permit>;
}

/** Maximum number of workers in one call; each one lengthens the call. */
const MAX_WORKERS_PER_CALL = 30;

/** Validity kept in reserve for the start order to reach the worker: one slow round trip. */
const DELIVERY_MARGIN_MS = 300;

/** Back-off after a call without advice, because the advisor's queue may be full. */
const RETRY_BACKOFF_MS = 200;

export class PermitCache {
  readonly #parts: PermitCacheParts;
  readonly #steps = new Map<string, StepAdvice>();
  #isCallPending = false;
  #retryAt = -Infinity;

  constructor(parts: PermitCacheParts) {
    this.#parts = parts;
  }

  /** Text of the permit for running a step on a worker; undefined if there is none or it has expired. */
  permit(step: string, worker: string, now: number): string | undefined {
    const permit = this.#steps.get(step)?.permits.get(worker);
    return permit !== undefined && now < permit.validUntil
      ? permit.text
      : undefined;
  }

  /**
   * Requests advice for the most urgent advised step for which no candidate holds a valid permit, one call at a time.
   * If there is nothing to ask, removes the steps that no longer wait.
   */
  requestMissing(
    stepsByUrgency: readonly WaitingStep[],
    candidates: (step: WaitingStep) => readonly Worker[],
    isWaiting: (step: string) => boolean,
    now: number,
  ): void {
    if (this.#isCallPending || now < this.#retryAt) {
      return;
    }
    for (const step of stepsByUrgency) {
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

  /** Workers to ask about, expired permits first; none while a candidate holds a valid permit. */
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
    const { client, clock, log, metrics, onChange } = this.#parts;
    this.#isCallPending = true;
    const sentAt = clock.monotonic();
    const advice = await client.advise(step, workers);
    const now = clock.monotonic();
    this.#isCallPending = false;
    metrics.observe("quetzalcove_advice_seconds", now - sentAt);
    log.info("step.advised", {
      step,
      asked: workers.length,
      permitted: advice?.permits.size,
      took: Math.round(now - sentAt),
    });
    if (advice === undefined) {
      this.#retryAt = now + RETRY_BACKOFF_MS;
      return;
    }
    const known = this.#steps.get(step) ??
      { asked: new Set(), permits: new Map() };
    workers.forEach((worker) => known.asked.add(worker));
    for (const [worker, text] of advice.permits) {
      // The advisor counts the validity from a moment after the request was sent.
      const validUntil = sentAt + advice.validityMs - DELIVERY_MARGIN_MS;
      known.permits.set(worker, { text, validUntil });
    }
    this.#steps.set(step, known);
    onChange();
  }
}
