/**
 * Announces an emulated target to the entries, as the platform's balancer would spread it: to the next address when
 * one does not answer.
 *
 * @module
 */
import type { Announcement } from "@quetzalcove/core";
import { request } from "undici";
import { z } from "zod";

const Accepted = z.object({ announceEveryMs: z.number().positive() });

/** Interval until an entry has told another one, in milliseconds. */
const FIRST_INTERVAL_MS = 1_000;
const RETRY_MS = 100;
const TIMEOUT_MS = 1_500;

export class Announcer {
  readonly #entries: readonly string[];
  #announcement: Announcement;
  #turn: number;
  #timer: NodeJS.Timeout | undefined;
  #everyMs = FIRST_INTERVAL_MS;
  #stopped = false;

  /** `entries` are service addresses; `first` is the index of the one to begin with. */
  constructor(
    announcement: Announcement,
    entries: readonly string[],
    first: number,
  ) {
    this.#announcement = announcement;
    this.#entries = entries;
    this.#turn = first;
  }

  start(): void {
    void this.#loop();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  /** Says that the target is leaving; resolves once an entry has confirmed that the system knows it. */
  async leave(): Promise<void> {
    this.#announcement = {
      ...this.#announcement,
      condition: "leaving",
      sequence: this.#announcement.sequence + 1,
    };
    while (!this.#stopped && !await this.#announce()) {
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    }
  }

  async #loop(): Promise<void> {
    const accepted = await this.#announce();
    if (!this.#stopped) {
      this.#timer = setTimeout(
        () => void this.#loop(),
        accepted ? this.#everyMs : RETRY_MS,
      );
    }
  }

  async #announce(): Promise<boolean> {
    const entry = this.#entries[this.#turn % this.#entries.length];
    try {
      const answer = await request(`http://${entry}/-/announce`, {
        method: "POST",
        body: JSON.stringify(this.#announcement),
        headers: { "content-type": "application/json" },
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      const body = await answer.body.text();
      if (answer.statusCode === 200) {
        this.#everyMs = Accepted.parse(JSON.parse(body)).announceEveryMs;
        return true;
      }
    } catch {
      // The next address is tried below.
    }
    this.#turn += 1;
    return false;
  }
}
