/**
 * Times at which refused callers should try again, spread so that they do not return together.
 *
 * @module
 */
import { evictOldest } from "../../eviction.ts";

/** Bounds of Retry-After; callers wait whole seconds, and a backlog may drain sooner than estimated. */
export const MIN_RETRY_AFTER_MS = 1_000;
export const MAX_RETRY_AFTER_MS = 5_000;

/** Latest first slot, which leaves at least two seconds over which the retries are spread. */
const MAX_FIRST_SLOT_MS = 3_000;

/** Assigns slots one after another, by key. */
export class RetrySlots {
  /** Time of the last assigned slot by key, in assignment order. */
  readonly #last = new Map<string, number>();
  readonly #maxKeys: number;

  /** Beyond `maxKeys` keys, the one that was assigned a slot least recently is forgotten. */
  constructor(maxKeys: number) {
    this.#maxKeys = maxKeys;
  }

  /**
   * Time in milliseconds until the next slot of a key: not before `earliestMs`, and `spacingMs` after the last slot.
   * When the slots have reached the upper bound, they begin again at the earliest one.
   */
  next(
    key: string,
    earliestMs: number,
    spacingMs: number,
    now: number,
  ): number {
    const first = now +
      Math.min(MAX_FIRST_SLOT_MS, Math.max(MIN_RETRY_AFTER_MS, earliestMs));
    const following = (this.#last.get(key) ?? -Infinity) + spacingMs;
    const isWithinBounds = following <= now + MAX_RETRY_AFTER_MS;
    const slot = isWithinBounds ? Math.max(first, following) : first;
    this.#last.delete(key);
    this.#last.set(key, slot);
    evictOldest(this.#last, this.#maxKeys);
    return Math.round(slot - now);
  }
}
