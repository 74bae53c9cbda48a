/**
 * The targets that announce themselves to one entry.
 *
 * @module
 */
import { type Announcement, supersedes } from "../announcement.ts";
import { type Delta, DeltaMap } from "./delta_map.ts";

/** How often targets announce themselves. */
export interface AnnouncementTerms {
  /** Shortest interval, in milliseconds. */
  announceEveryMs: number;
  /** How long a target counts as present at that interval, in milliseconds; it grows with the interval. */
  expireMs: number;
  /** Announcements that one entry takes in a second; with more targets the interval grows. */
  maxPerSecond: number;
}

const MS_PER_SECOND = 1_000;

export class Registry {
  readonly #terms: AnnouncementTerms;
  readonly #announced = new DeltaMap<Announcement>();
  readonly #dueAt = new Map<string, number>();

  constructor(terms: AnnouncementTerms) {
    this.#terms = terms;
  }

  get version(): number {
    return this.#announced.version;
  }

  /** The interval at which targets are told to announce themselves, in milliseconds. */
  get announceEveryMs(): number {
    const { announceEveryMs, maxPerSecond } = this.#terms;
    const spread = Math.ceil(this.#dueAt.size * MS_PER_SECOND / maxPerSecond);
    return Math.max(announceEveryMs, spread);
  }

  /** Takes in an announcement. Returns whether it changed what is known of the target. */
  announce(announcement: Announcement, now: number): boolean {
    const known = this.#announced.get(announcement.target);
    if (known !== undefined && supersedes(known, announcement)) {
      return false;
    }
    this.#dueAt.set(announcement.target, now + this.#expireMs);
    if (known !== undefined && !supersedes(announcement, known)) {
      return false;
    }
    this.#announced.set(announcement.target, announcement);
    return true;
  }

  /** Removes targets that have not announced themselves in time and returns their names. */
  expire(now: number): string[] {
    const gone: string[] = [];
    for (const [target, dueAt] of this.#dueAt) {
      if (now >= dueAt) {
        gone.push(target);
        this.#dueAt.delete(target);
        this.#announced.delete(target);
      }
    }
    return gone;
  }

  /** A target misses as many announcements as it would at the shortest interval. */
  get #expireMs(): number {
    const { announceEveryMs, expireMs } = this.#terms;
    return this.announceEveryMs / announceEveryMs * expireMs;
  }

  get(target: string): Announcement | undefined {
    return this.#announced.get(target);
  }

  since(version: number): Delta<Announcement> {
    return this.#announced.since(version);
  }
}
