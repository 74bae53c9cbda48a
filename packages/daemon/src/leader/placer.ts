/**
 * Runs the placement of jobs at the leader.
 *
 * @module
 */
import {
  type Explanation,
  Placement,
  type PlacementTick,
  type State,
} from "@quetzalcove/core";
import type { Clock } from "../clock.ts";
import type { Consensus } from "../consensus/consensus.ts";
import { type Component, ticker } from "../lifecycle.ts";
import type { Log } from "../observe/log.ts";
import { TaskAgents } from "../agents/task_agents.ts";

/** What the placer needs. */
export interface PlacerParts {
  consensus: Consensus;
  clock: Clock;
  log: Log;
}

/** Interval of passes, in milliseconds. */
const PASS_MS = 500;
/** Shortest time between two passes, in milliseconds. */
const URGENT_PASS_MS = 50;

export class Placer implements Component {
  readonly name = "placer";
  readonly #parts: PlacerParts;
  readonly #agents: TaskAgents;
  readonly #ticker: Component;
  #placement = new Placement();
  #term = -1;
  #since = 0;
  #tick: PlacementTick | undefined;
  #passing: Promise<void> | undefined;
  #wake: NodeJS.Timeout | undefined;
  #addresses = new Map<string, string>();
  #addressRevision = -1;

  constructor(parts: PlacerParts) {
    this.#parts = parts;
    this.#agents = new TaskAgents(parts.log);
    this.#ticker = ticker("placement", PASS_MS, () => this.#pass());
  }

  start(): Promise<void> {
    return this.#ticker.start();
  }

  async stop(): Promise<void> {
    clearTimeout(this.#wake);
    await this.#ticker.stop();
    await this.#passing;
    await this.#agents.stop();
  }

  /** Passes soon, because urgent work may wait. */
  poke(): void {
    this.#wake ??= setTimeout(() => {
      this.#wake = undefined;
      void (this.#passing ?? Promise.resolve()).then(() => this.#pass());
    }, URGENT_PASS_MS);
  }

  /** Why a job is where it is. */
  explain(job: string): Explanation {
    const { consensus, clock } = this.#parts;
    const tick = this.#tick ??
      { now: clock.monotonic(), at: clock.wall(), term: 0, since: 0 };
    const now = { ...tick, now: clock.monotonic(), at: clock.wall() };
    return this.#placement.explain(consensus.state, { job, tick: now });
  }

  #pass(): Promise<void> {
    this.#passing ??= this.#decide().finally(() => {
      this.#passing = undefined;
    });
    return this.#passing;
  }

  async #decide(): Promise<void> {
    const { consensus, clock } = this.#parts;
    const { term, isLeader } = consensus.leadership();
    if (!isLeader || isIdle(consensus.state)) {
      return;
    }
    // The time is read before the quorum confirms, so that a process that was frozen in between grants no lease late.
    const now = clock.monotonic();
    if (term !== this.#term) {
      this.#term = term;
      this.#since = now;
      this.#placement = new Placement();
    }
    const confirmed = await consensus.barrier();
    if (confirmed.err || consensus.leadership().term !== term) {
      return;
    }
    this.#tick = { now, at: clock.wall(), term, since: this.#since };
    await this.#carryOut(this.#tick);
  }

  async #carryOut(tick: PlacementTick): Promise<void> {
    const { consensus, log } = this.#parts;
    const { state } = consensus;
    const decision = this.#placement.pass(state, tick);
    this.#followAddresses(state);
    for (const operation of decision.operations) {
      const address = this.#addresses.get(operation.vm);
      if (address !== undefined) {
        this.#agents.send(address, operation, (report, urgent) => {
          const now = this.#parts.clock.monotonic();
          this.#placement.report(report, { now, term: tick.term });
          if (urgent) {
            this.poke();
          }
        });
      }
    }
    if (decision.command === undefined) {
      return;
    }
    const result = await consensus.propose(decision.command);
    log.info("leader.placed", {
      changes: decision.command.changes.length,
      fault: result.err ? result.val.kind : undefined,
    });
    if (result.ok && decision.urgent) {
      this.poke();
    }
  }

  /** Addresses of VMs that left the inventory are kept, so that their runs can still be told to leave. */
  #followAddresses(state: State): void {
    if (state.configurationRevision === this.#addressRevision) {
      return;
    }
    this.#addressRevision = state.configurationRevision;
    for (const { name, agent } of state.inventory.vms) {
      if (agent !== undefined) {
        this.#addresses.set(name, agent);
      }
    }
    for (const name of this.#addresses.keys()) {
      if (state.vms[name] === undefined) {
        this.#addresses.delete(name);
      }
    }
  }
}

/** Without active jobs there is nothing to place, renew or end. */
function isIdle(state: State): boolean {
  for (const _ in state.jobs.active) {
    return false;
  }
  return true;
}
