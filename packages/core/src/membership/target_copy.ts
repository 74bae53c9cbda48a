/**
 * An entry's copy of the leader's table of targets.
 *
 * @module
 */
import type { Announcement } from "../announcement.ts";
import { type Delta, DeltaMap } from "./delta_map.ts";

/**
 * A copy that survives a change of leader. A new leader hears of targets one entry at a time, so until its table is
 * complete the targets known from the previous term stay.
 */
export class TargetCopy {
  #term = 0;
  #table = new DeltaMap<Announcement>();
  #previous = new Map<string, Announcement>();

  get term(): number {
    return this.#term;
  }

  get version(): number {
    return this.#table.version;
  }

  /** Brings the copy up to date. Returns false when the delta does not continue it. */
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
