/**
 * A bounded set whose members expire; when it is full, the member that was added longest ago is removed.
 *
 * @module
 */
import { evictOldest } from "../../eviction.ts";

export class ExpiringSet {
  readonly #maxSize: number;
  /** Time until which each member is kept, in milliseconds; last added last. */
  readonly #expiries = new Map<string, number>();

  constructor(maxSize: number) {
    this.#maxSize = maxSize;
  }

  get size(): number {
    return this.#expiries.size;
  }

  add(member: string, expiresAt: number): void {
    this.#expiries.delete(member);
    this.#expiries.set(member, expiresAt);
    evictOldest(this.#expiries, this.#maxSize);
  }

  delete(member: string): void {
    this.#expiries.delete(member);
  }

  has(member: string, now: number): boolean {
    const expiresAt = this.#expiries.get(member);
    if (expiresAt !== undefined && now >= expiresAt) {
      this.#expiries.delete(member);
    }
    return expiresAt !== undefined && now < expiresAt;
  }
}
