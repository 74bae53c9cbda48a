/**
 * Linearizable reads by read index (Ongaro's thesis, section 6.4): the leader confirms its leadership by a round of
 * heartbeats after the read arrived, and serves the read at the commit index of the round's start.
 *
 * @module
 */

/** A read whose round has begun. */
interface StartedRead {
  context: string;
  index: number;
  round: number;
}

/** The reads of a leader. One round is under way at a time; reads that arrive meanwhile share the next one. */
export class ReadQueue {
  #waiting: string[] = [];
  #started: StartedRead[] = [];
  #round = 0;
  #confirmed = 0;

  /** Number of the latest round. */
  get round(): number {
    return this.#round;
  }

  get size(): number {
    return this.#waiting.length + this.#started.length;
  }

  add(context: string): void {
    this.#waiting.push(context);
  }

  /** Starts a round for the waiting reads unless one is under way; returns whether it did. */
  startRound(commit: number): boolean {
    if (this.#waiting.length === 0 || this.#confirmed < this.#round) {
      return false;
    }
    this.#round += 1;
    const round = this.#round;
    for (const context of this.#waiting) {
      this.#started.push({ context, index: commit, round });
    }
    this.#waiting = [];
    return true;
  }

  /** Whether the latest round awaits its quorum. */
  get isRoundOpen(): boolean {
    return this.#confirmed < this.#round;
  }

  /** Ends the latest round and returns its reads. */
  confirmRound(): { context: string; index: number }[] {
    this.#confirmed = this.#round;
    const done = this.#started.map(({ context, index }) => ({
      context,
      index,
    }));
    this.#started = [];
    return done;
  }

  /** Removes all reads, for a leader that steps down. */
  removeAll(): string[] {
    const contexts = [
      ...this.#started.map((read) => read.context),
      ...this.#waiting,
    ];
    this.#waiting = [];
    this.#started = [];
    return contexts;
  }
}
