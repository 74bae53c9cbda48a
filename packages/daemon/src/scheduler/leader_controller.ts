/**
 * Starts a tenure when this replica becomes the leader, and ends it when it no longer is.
 *
 * @module
 */
import type { SubmittedJob } from "@quetzalcove/core/scheduling";
import type { Component } from "../lifecycle.ts";
import type { LeadershipTermStatus } from "./status.ts";
import { LeadershipTerm, type LeadershipTermParts } from "./leadership_term.ts";

/** What the leader task needs; the term comes with each tenure. */
export type LeaderControllerParts = Omit<LeadershipTermParts, "term">;

export class LeaderController implements Component {
  readonly name = "leader";
  readonly #parts: LeaderControllerParts;
  #activeTerm: LeadershipTerm | undefined;
  #lastTerm = -1;
  #stopped = false;

  constructor(parts: LeaderControllerParts) {
    this.#parts = parts;
  }

  start(): Promise<void> {
    this.#parts.consensus.onChange(() => this.#onLeadershipChange());
    return Promise.resolve();
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#endTerm();
  }

  /** Looks for work in the next turn of the event loop. */
  wake(): void {
    this.#activeTerm?.wake();
  }

  /** Notes a job that was accepted. */
  recordArrival(job: SubmittedJob): void {
    this.#activeTerm?.recordArrival(job);
  }

  /** What the leader knows now; undefined at a node that does not lead. */
  describe(): LeadershipTermStatus | undefined {
    return this.#activeTerm?.describe();
  }

  #onLeadershipChange(): void {
    if (this.#stopped) {
      return;
    }
    const { isLeader, term } = this.#parts.consensus.leadership();
    if (isLeader && term !== this.#lastTerm) {
      this.#lastTerm = term;
      void this.#startTerm(term);
    } else if (!isLeader && this.#activeTerm !== undefined) {
      void this.#endTerm();
    }
  }

  /** The book must hold everything that earlier leaders committed before it is acted on. */
  async #startTerm(term: number): Promise<void> {
    await this.#endTerm();
    const confirmed = await this.#parts.consensus.barrier();
    const { isLeader, term: current } = this.#parts.consensus.leadership();
    if (confirmed.ok && isLeader && current === term && !this.#stopped) {
      this.#activeTerm = new LeadershipTerm({ ...this.#parts, term });
      await this.#activeTerm.start();
    }
  }

  async #endTerm(): Promise<void> {
    const ending = this.#activeTerm;
    this.#activeTerm = undefined;
    await ending?.stop();
  }
}
