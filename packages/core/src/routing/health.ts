/**
 * Health of one target as this entry sees it: the share of failures among recent attempts, ejection, probing with
 * one request, and slow start after it returned.
 *
 * @module
 */

/** Recent attempts that count, as a decay for each attempt. */
const WINDOW_ATTEMPTS = 20;

/** A target is judged only after this many attempts. */
const MIN_ATTEMPTS = 8;

/** How much a timeout counts against one failure that came fast. */
const TIMEOUT_WEIGHT = 3;

/** Share of failures from which a target may be ejected. */
const PARTIAL_FAILURE_SHARE = 0.5;

/** Share of failures from which a target counts as failing everything. */
const TOTAL_FAILURE_SHARE = 0.9;

const FIRST_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 30_000;

/** A target without failures for this long starts again with the first ejection time. */
const EJECTION_RESET_MS = 120_000;

/** How a target is treated. */
export type HealthState = "healthy" | "ejected" | "probing" | "ramping";

/** The health of one target. */
export class Health {
  #state: HealthState = "healthy";
  #attempts = 0;
  #failures = 0;
  #ejections = 0;
  #ejectedAt = 0;
  #probeAt = 0;
  #limit = Number.POSITIVE_INFINITY;

  get state(): HealthState {
    return this.#state;
  }

  /** When the next probe may start, for an ejected target. */
  get probeAt(): number {
    return this.#probeAt;
  }

  /** Whether it takes part in carrying the load. */
  get isInRotation(): boolean {
    return this.#state === "healthy" || this.#state === "ramping";
  }

  /** Share of failures among recent attempts. */
  get failureShare(): number {
    return this.#attempts === 0 ? 0 : this.#failures / this.#attempts;
  }

  /** Share of failures, near zero while little is known. */
  get smoothedFailureShare(): number {
    return this.#failures / (this.#attempts + 1);
  }

  /** Halves the weight of past attempts, for a target that has not been used for a while. */
  decay(): void {
    this.#attempts /= 2;
    this.#failures /= 2;
  }

  /** The most requests that may be in flight at the target from this entry. */
  limit(now: number): number {
    if (this.#state === "ejected") {
      return now >= this.#probeAt ? 1 : 0;
    }
    return this.#state === "probing" ? 1 : this.#limit;
  }

  /** Records that a request was sent; the first after an ejection is the probe. */
  recordSent(now: number): void {
    if (this.#state === "ejected" && now >= this.#probeAt) {
      this.#state = "probing";
    }
  }

  /** Records an attempt without a result, so that a probe can be repeated. */
  recordUnsent(): void {
    if (this.#state === "probing") {
      this.#state = "ejected";
    }
  }

  recordSuccess(now: number): void {
    this.#count(1, 0);
    if (this.#state === "probing") {
      this.startRamp();
      return;
    }
    if (this.#state === "ramping") {
      this.#limit += 1;
      if (this.#limit >= MIN_ATTEMPTS) {
        this.#state = "healthy";
        this.#limit = Number.POSITIVE_INFINITY;
      }
    }
    if (now - this.#ejectedAt > EJECTION_RESET_MS) {
      this.#ejections = 0;
    }
  }

  recordFailure(now: number, timedOut: boolean): void {
    const weight = timedOut ? TIMEOUT_WEIGHT : 1;
    this.#count(weight, weight);
    if (this.#state === "probing") {
      this.eject(now);
    }
  }

  /** Lets one request in at first and one more with each success. */
  startRamp(): void {
    this.#state = "ramping";
    this.#limit = 1;
    this.#attempts = 0;
    this.#failures = 0;
  }

  /** What the recent attempts call for; the pool decides whether it can do without the target. */
  get verdict(): "keep" | "suspect" | "failing" {
    if (this.#attempts < MIN_ATTEMPTS || !this.isInRotation) {
      return "keep";
    }
    if (this.failureShare >= TOTAL_FAILURE_SHARE) {
      return "failing";
    }
    return this.failureShare >= PARTIAL_FAILURE_SHARE ? "suspect" : "keep";
  }

  /** Sends nothing to the target until the next probe; each ejection in a row doubles the time. */
  eject(now: number): void {
    const durationMs = FIRST_EJECTION_MS * 2 ** this.#ejections;
    this.#state = "ejected";
    this.#ejections += 1;
    this.#ejectedAt = now;
    this.#probeAt = now + Math.min(MAX_EJECTION_MS, durationMs);
  }

  #count(attempts: number, failures: number): void {
    const decay = 1 - 1 / WINDOW_ATTEMPTS;
    this.#attempts = this.#attempts * decay + attempts;
    this.#failures = this.#failures * decay + failures;
  }
}
