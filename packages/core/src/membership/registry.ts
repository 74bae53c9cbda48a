/**
 * The targets that announce themselves to one entry.
 *
 * @module
 */
import { type Announcement, supersedes } from "../announcement.ts";
import { type Delta, DeltaMap } from "./delta_map.ts";

/** How often targets announce themselves. */
export interface AnnouncementSettings {
  /** Shortest interval, in milliseconds. */
  announceEveryMs: number;
  /** How long a target counts as present at that interval, in milliseconds; it grows with the interval. */
  expireMs: number;
  /** Announcements that one entry takes in a second; with more targets the interval grows. */
  maxPerSecond: number;
}

const MS_PER_SECOND = 1_000;

export class Registry {
  readonly #settings: AnnouncementSettings;
  readonly #announced = new DeltaMap<Announcement>();
  readonly #expiresAt = new Map<string, number>();

  constructor(terms: AnnouncementSettings) {
    this.#settings = terms;
  }

  get version(): number {
    return this.#announced.version;
  }

  /** The interval at which targets are told to announce themselves, in milliseconds. */
  get announceEveryMs(): number {
    const { announceEveryMs, maxPerSecond } = this.#settings;
    const rateLimitedMs = Math.ceil(
      this.#expiresAt.size * MS_PER_SECOND / maxPerSecond,
    );
    return Math.max(announceEveryMs, rateLimitedMs);
  }

  /** Takes in an announcement. Returns whether it changed what is known of the target. */
  announce(announcement: Announcement, now: number): boolean {
    const known = this.#announced.get(announcement.target);
    if (known !== undefined && supersedes(known, announcement)) {
      return false;
    }
    this.#expiresAt.set(announcement.target, now + this.#expireMs);
    if (known !== undefined && !supersedes(announcement, known)) {
      return false;
    }
    this.#announced.set(announcement.target, announcement);
    return true;
  }

  /** Removes targets that have not announced themselves in time and returns their names. */
  expire(now: number): string[] {
    const expired: string[] = [];
    for (const [target, dueAt] of this.#expiresAt) {
      if (now >= dueAt) {
        expired.push(target);
        this.#expiresAt.delete(target);
        this.#announced.delete(target);
      }
    }
    return expired;
  }

  /** A target misses as many announcements as it would at the shortest interval. */
  get #expireMs(): number {
    const { announceEveryMs, expireMs } = this.#settings;
    return this.announceEveryMs / announceEveryMs * expireMs;
  }

  get(target: string): Announcement | undefined {
    return this.#announced.get(target);
  }

  since(version: number): Delta<Announcement> {
    return this.#announced.since(version);
  }
}
