/**
 * Starts a leadership term when this replica becomes the leader, and ends it when leadership is lost.
 *
 * @module
 */
import type { SubmittedJob } from "@quetzalcove/core/scheduling";
import { Err, type Fault, fault, Ok, type Result } from "@quetzalcove/core";
import type { Component } from "../lifecycle.ts";
import type { CallRouter } from "./call_relay/mod.ts";
import type { CustomerStatus } from "./customer_status.ts";
import type { LeadershipTermStatus } from "./status.ts";
import { LeadershipTerm, type LeadershipTermParts } from "./leadership_term.ts";

/** Dependencies of the leader controller; it adds the term number and the client itself. */
export interface LeaderControllerParts
  extends Omit<LeadershipTermParts, "term" | "client"> {
  /** Creates the router of the calls to workers in one leadership term. */
  createRouter: (term: number) => CallRouter;
}

export class LeaderController implements Component {
  readonly name = "leader";
  readonly #parts: LeaderControllerParts;
  #activeTerm: LeadershipTerm | undefined;
  #router: CallRouter | undefined;
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

  /** Schedules a placement pass if this replica leads. */
  wake(): void {
    this.#activeTerm?.wake();
  }

  /** Accepts or refuses a submission; all are accepted until the term has started. */
  accept(job: SubmittedJob): Result<void, Fault> {
    return this.#activeTerm?.accept(job) ?? Ok.EMPTY;
  }

  /** Status of the customers; empty on a node that does not lead. */
  describeCustomers(): CustomerStatus[] {
    return this.#activeTerm?.admission.describe() ?? [];
  }

  /** Records that a job was accepted. */
  recordArrival(job: SubmittedJob): void {
    this.#activeTerm?.recordArrival(job);
  }

  /** Stops the runs of a worker that has announced its end; resolves when they have ended, or after a while. */
  async vacate(worker: string): Promise<void> {
    await this.#activeTerm?.vacate(worker);
  }

  /** Handles answers to relayed calls. */
  receiveAnswers(params: unknown): Result<void, Fault> {
    return this.#router?.receive(params) ??
      Err(fault("not_leader", "This node does not lead"));
  }

  /** Status of the current leadership term; undefined on a node that does not lead. */
  describe(): LeadershipTermStatus | undefined {
    return this.#activeTerm && {
      ...this.#activeTerm.describe(),
      relays: this.#router?.relays ?? [],
    };
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

  /** Waits until the job store has applied everything that earlier leaders committed, then starts the term. */
  async #startTerm(term: number): Promise<void> {
    await this.#endTerm();
    const confirmed = await this.#parts.consensus.barrier();
    if (confirmed.err || !this.#leads(term)) {
      return;
    }
    const router = this.#parts.createRouter(term);
    await router.start();
    if (!this.#leads(term)) {
      await router.stop();
      return;
    }
    this.#router = router;
    const { client } = router;
    this.#activeTerm = new LeadershipTerm({ ...this.#parts, term, client });
    await this.#activeTerm.start();
  }

  #leads(term: number): boolean {
    const current = this.#parts.consensus.leadership();
    return current.isLeader && current.term === term && !this.#stopped;
  }

  async #endTerm(): Promise<void> {
    const ending = this.#activeTerm;
    const router = this.#router;
    this.#activeTerm = undefined;
    this.#router = undefined;
    await ending?.stop();
    await router?.stop();
  }
}
