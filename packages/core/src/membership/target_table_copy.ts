/**
 * An entry's copy of the leader's target table.
 *
 * @module
 */
import type { Announcement } from "../announcement.ts";
import { type Delta, DeltaMap } from "./delta_map.ts";

/**
 * A copy that survives a change of leader. A new leader learns of targets one entry at a time, so targets of the
 * previous term are kept until its table is complete.
 */
export class TargetTableCopy {
  #term = 0;
  #table = new DeltaMap<Announcement>();
  #previous = new Map<string, Announcement>();

  get term(): number {
    return this.#term;
  }

  get version(): number {
    return this.#table.version;
  }

  /** Applies a delta. Returns false if it is from an earlier term or does not build on the version of the copy. */
  apply(term: number, delta: Delta<Announcement>, complete: boolean): boolean {
    if (term < this.#term) {
      return false;
    }
    if (term > this.#term) {
      this.#previous = new Map(
        this.targets().map((target) => [target.target, target]),
      );
      this.#table = new DeltaMap();
      this.#term = term;
    }
    if (!this.#table.apply(delta)) {
      return false;
    }
    if (complete) {
      this.#previous.clear();
    }
    return true;
  }

  targets(): Announcement[] {
    const all = new Map(this.#previous);
    for (const [target, announcement] of this.#table.entries()) {
      all.set(target, announcement);
    }
    return [...all.values()];
  }
}
