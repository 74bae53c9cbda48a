/**
 * Starts a tenure when this replica becomes the leader, and ends it when it no longer is.
 *
 * @module
 */
import type { SubmittedJob } from "@quetzalcove/core/scheduling";
import type { Component } from "../lifecycle.ts";
import type { TenureStatus } from "./status.ts";
import { Tenure, type TenureParts } from "./tenure.ts";

/** What the leader task needs; the term comes with each tenure. */
export type LeaderTaskParts = Omit<TenureParts, "term">;

export class LeaderTask implements Component {
  readonly name = "leader";
  readonly #parts: LeaderTaskParts;
  #tenure: Tenure | undefined;
  #term = -1;
  #stopped = false;

  constructor(parts: LeaderTaskParts) {
    this.#parts = parts;
  }

  start(): Promise<void> {
    this.#parts.consensus.onChange(() => this.#follow());
    return Promise.resolve();
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#end();
  }

  /** Looks for work in the next turn of the event loop. */
  wake(): void {
    this.#tenure?.wake();
  }

  /** Notes a job that was accepted. */
  noteArrival(job: SubmittedJob): void {
    this.#tenure?.noteArrival(job);
  }

  /** What the leader knows now; undefined at a node that does not lead. */
  describe(): TenureStatus | undefined {
    return this.#tenure?.describe();
  }

  #follow(): void {
    if (this.#stopped) {
      return;
    }
    const { isLeader, term } = this.#parts.consensus.leadership();
    if (isLeader && term !== this.#term) {
      this.#term = term;
      void this.#begin(term);
    } else if (!isLeader && this.#tenure !== undefined) {
      void this.#end();
    }
  }

  /** The book must hold everything that earlier leaders committed before it is acted on. */
  async #begin(term: number): Promise<void> {
    await this.#end();
    const confirmed = await this.#parts.consensus.barrier();
    const { isLeader, term: current } = this.#parts.consensus.leadership();
    if (confirmed.ok && isLeader && current === term && !this.#stopped) {
      this.#tenure = new Tenure({ ...this.#parts, term });
      await this.#tenure.start();
    }
  }

  async #end(): Promise<void> {
    const ending = this.#tenure;
    this.#tenure = undefined;
    await ending?.stop();
  }
}
