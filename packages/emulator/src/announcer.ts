/**
 * Announces an emulated target to the entries. When an entry does not answer, the next one is tried, as the platform's
 * load balancer does.
 *
 * @module
 */
import type { Announcement } from "@quetzalcove/core";
import { request } from "undici";
import { z } from "zod";

const AcceptedAnnouncement = z.object({
  announceEveryMs: z.number().positive(),
});

/** Announcement interval until an entry has set one, in milliseconds. */
const INITIAL_INTERVAL_MS = 1_000;
const RETRY_DELAY_MS = 100;
const REQUEST_TIMEOUT_MS = 1_500;

export class Announcer {
  readonly #entries: readonly string[];
  #announcement: Announcement;
  #entryIndex: number;
  #timer: NodeJS.Timeout | undefined;
  #intervalMs = INITIAL_INTERVAL_MS;
  #stopped = false;

  /** `entries` are service addresses; `firstIndex` is the index of the entry to start with. */
  constructor(
    announcement: Announcement,
    entries: readonly string[],
    firstIndex: number,
  ) {
    this.#announcement = announcement;
    this.#entries = entries;
    this.#entryIndex = firstIndex;
  }

  start(): void {
    void this.#announceRepeatedly();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  /** Announces that the target is leaving; resolves once an entry has confirmed the announcement. */
  async leave(): Promise<void> {
    this.#announcement = {
      ...this.#announcement,
      condition: "leaving",
      sequence: this.#announcement.sequence + 1,
    };
    while (!this.#stopped && !await this.#announce()) {
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }

  async #announceRepeatedly(): Promise<void> {
    const accepted = await this.#announce();
    if (!this.#stopped) {
      this.#timer = setTimeout(
        () => void this.#announceRepeatedly(),
        accepted ? this.#intervalMs : RETRY_DELAY_MS,
      );
    }
  }

  async #announce(): Promise<boolean> {
    const entry = this.#entries[this.#entryIndex % this.#entries.length];
    try {
      const answer = await request(`http://${entry}/-/announce`, {
        method: "POST",
        body: JSON.stringify(this.#announcement),
        headers: { "content-type": "application/json" },
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      const body = await answer.body.text();
      if (answer.statusCode === 200) {
        this.#intervalMs =
          AcceptedAnnouncement.parse(JSON.parse(body)).announceEveryMs;
        return true;
      }
    } catch {
      // The next attempt goes to another entry.
    }
    this.#entryIndex += 1;
    return false;
  }
}
