/**
 * The targets that announce themselves to one entry.
 *
 * @module
 */
import { type Announcement, supersedes } from "../announcement.ts";
import { type Delta, DeltaMap } from "./delta_map.ts";

export class Registry {
  readonly #expireMs: number;
  readonly #announced = new DeltaMap<Announcement>();
  readonly #heardAt = new Map<string, number>();

  /** `expireMs` is how long a target counts as present after its last announcement. */
  constructor(expireMs: number) {
    this.#expireMs = expireMs;
  }

  get version(): number {
    return this.#announced.version;
  }

  /** Takes in an announcement. Returns whether it changed what is known of the target. */
  announce(announcement: Announcement, now: number): boolean {
    const known = this.#announced.get(announcement.target);
    if (known !== undefined && supersedes(known, announcement)) {
      return false;
    }
    this.#heardAt.set(announcement.target, now);
    if (known !== undefined && !supersedes(announcement, known)) {
      return false;
    }
    this.#announced.set(announcement.target, announcement);
    return true;
  }

  /** Removes targets that have not announced themselves in time and returns their names. */
  expire(now: number): string[] {
    const gone: string[] = [];
    for (const [target, heardAt] of this.#heardAt) {
      if (now - heardAt >= this.#expireMs) {
        gone.push(target);
        this.#heardAt.delete(target);
        this.#announced.delete(target);
      }
    }
    return gone;
  }

  get(target: string): Announcement | undefined {
    return this.#announced.get(target);
  }

  since(version: number): Delta<Announcement> {
    return this.#announced.since(version);
  }
}
