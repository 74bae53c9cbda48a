/**
 * Registry of the targets that announce themselves to one entry.
 *
 * @module
 */
import { type Announcement, supersedes } from "../announcement.ts";
import { type Delta, DeltaMap } from "./delta_map.ts";

/** Intervals and rate limit of announcements. */
export interface AnnouncementSettings {
  /** Shortest interval, in milliseconds. */
  announceEveryMs: number;
  /** Time after which a target without announcements is removed, in milliseconds; grows with the interval. */
  expireMs: number;
  /** Maximum announcements per second at one entry; the interval grows to stay within it. */
  maxPerSecond: number;
}

const MS_PER_SECOND = 1_000;

/** Targets known to one entry by their announcements. */
export class TargetRegistry {
  readonly #settings: AnnouncementSettings;
  readonly #announced = new DeltaMap<Announcement>();
  readonly #expiresAt = new Map<string, number>();

  constructor(settings: AnnouncementSettings) {
    this.#settings = settings;
  }

  get version(): number {
    return this.#announced.version;
  }

  /** The interval of announcements that targets are told to use, in milliseconds. */
  get announceEveryMs(): number {
    const { announceEveryMs, maxPerSecond } = this.#settings;
    const rateLimitedMs = Math.ceil(
      this.#expiresAt.size * MS_PER_SECOND / maxPerSecond,
    );
    return Math.max(announceEveryMs, rateLimitedMs);
  }

  /** Records an announcement. Returns whether it is newer than the known one of the target. */
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

  /** Removes targets whose announcements have expired and returns their names. */
  expire(now: number): string[] {
    const expired: string[] = [];
    for (const [target, expiresAt] of this.#expiresAt) {
      if (now >= expiresAt) {
        expired.push(target);
        this.#expiresAt.delete(target);
        this.#announced.delete(target);
      }
    }
    return expired;
  }

  /** Expiry scaled with the interval, so that a target may always miss the same number of announcements. */
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
