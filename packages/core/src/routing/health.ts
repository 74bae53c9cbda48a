/**
 * Health of one target as observed by this entry: share of failures among recent attempts, ejection, probing with a
 * single request, and slow start after recovery.
 *
 * @module
 */

/** Size of the exponentially weighted window of attempts. */
const WINDOW_ATTEMPTS = 20;

/** A target is not ejected before this (weighted) number of attempts; its ramp also ends at this limit. */
const MIN_ATTEMPTS = 8;

/** Weight of a timeout relative to an immediate failure. */
const TIMEOUT_WEIGHT = 3;

/** Share of failures from which a target may be ejected. */
const PARTIAL_FAILURE_SHARE = 0.5;

/** Share of failures from which a target counts as failing completely. */
const TOTAL_FAILURE_SHARE = 0.9;

const FIRST_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 30_000;

/** After this time since the last ejection, a success resets the back-off of ejections. */
const EJECTION_RESET_MS = 120_000;

/**
 * An ejected target gets no requests until the next probe; a ramping one gets a growing number of concurrent requests.
 */
export type HealthState = "healthy" | "ejected" | "probing" | "ramping";

/** Health of one target at one entry. */
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

  /** When the next probe of an ejected target may start. */
  get probeAt(): number {
    return this.#probeAt;
  }

  /** Whether the target receives regular traffic. */
  get isInRotation(): boolean {
    return this.#state === "healthy" || this.#state === "ramping";
  }

  /** Share of failures among recent attempts. */
  get failureShare(): number {
    return this.#attempts === 0 ? 0 : this.#failures / this.#attempts;
  }

  /** Share of failures, biased towards zero after few attempts. */
  get smoothedFailureShare(): number {
    return this.#failures / (this.#attempts + 1);
  }

  /** Halves the weight of past attempts; called for a target that was not used for a while. */
  decay(): void {
    this.#attempts /= 2;
    this.#failures /= 2;
  }

  /** Maximum number of this entry's requests in flight at the target. */
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

  /** Records that an attempt was not sent; a probe may then start again. */
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

  /** Starts a slow start: one request in flight at first, and one more after each success. */
  startRamp(): void {
    this.#state = "ramping";
    this.#limit = 1;
    this.#attempts = 0;
    this.#failures = 0;
  }

  /** Assessment of the recent attempts; whether the service can spare the target is decided by the caller. */
  get verdict(): "keep" | "suspect" | "failing" {
    if (this.#attempts < MIN_ATTEMPTS || !this.isInRotation) {
      return "keep";
    }
    if (this.failureShare >= TOTAL_FAILURE_SHARE) {
      return "failing";
    }
    return this.failureShare >= PARTIAL_FAILURE_SHARE ? "suspect" : "keep";
  }

  /** Stops traffic to the target until the next probe; the time doubles with each consecutive ejection. */
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
