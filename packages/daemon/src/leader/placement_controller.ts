/**
 * Runs the passes that place jobs on VMs, while this replica leads.
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
import { TaskAgentClient } from "../agents/task_agent_client.ts";

/** Dependencies of the placement controller. */
export interface PlacementControllerParts {
  consensus: Consensus;
  clock: Clock;
  log: Log;
}

/** Interval of passes that nothing else triggers. */
const PASS_INTERVAL_MS = 500;
/** Delay of a requested pass, so that requests close together share one. */
const WAKE_DELAY_MS = 50;

export class PlacementController implements Component {
  readonly name = "placer";
  readonly #parts: PlacementControllerParts;
  readonly #agentClient: TaskAgentClient;
  readonly #ticker: Component;
  #placement = new Placement();
  #term = -1;
  #termSeenAt = 0;
  #lastTick: PlacementTick | undefined;
  #currentPass: Promise<void> | undefined;
  #wakeTimer: NodeJS.Timeout | undefined;
  #addresses = new Map<string, string>();
  #addressRevision = -1;

  constructor(parts: PlacementControllerParts) {
    this.#parts = parts;
    this.#agentClient = new TaskAgentClient(parts.log);
    this.#ticker = ticker("placement", PASS_INTERVAL_MS, () => this.#pass());
  }

  start(): Promise<void> {
    return this.#ticker.start();
  }

  async stop(): Promise<void> {
    clearTimeout(this.#wakeTimer);
    await this.#ticker.stop();
    await this.#currentPass;
    await this.#agentClient.stop();
  }

  /** Schedules a pass, because an urgent job may be waiting. */
  wake(): void {
    this.#wakeTimer ??= setTimeout(() => {
      this.#wakeTimer = undefined;
      void (this.#currentPass ?? Promise.resolve()).then(() => this.#pass());
    }, WAKE_DELAY_MS);
  }

  /** Explains the state of a job: why it waits, or where it runs. */
  explain(job: string): Explanation {
    const { consensus, clock } = this.#parts;
    const lastTick = this.#lastTick ??
      { now: clock.monotonic(), at: clock.wall(), term: 0, since: 0 };
    const tick = { ...lastTick, now: clock.monotonic(), at: clock.wall() };
    return this.#placement.explain(consensus.state, { job, tick });
  }

  #pass(): Promise<void> {
    this.#currentPass ??= this.#runPass().finally(() => {
      this.#currentPass = undefined;
    });
    return this.#currentPass;
  }

  async #runPass(): Promise<void> {
    const { consensus, clock } = this.#parts;
    const { term, isLeader } = consensus.leadership();
    if (!isLeader || isIdle(consensus.state)) {
      return;
    }
    // Read before the quorum round, so that a process suspended in between grants no lease that ends too late.
    const now = clock.monotonic();
    if (term !== this.#term) {
      this.#term = term;
      this.#termSeenAt = now;
      this.#placement = new Placement();
    }
    const confirmed = await consensus.barrier();
    if (confirmed.err || consensus.leadership().term !== term) {
      return;
    }
    this.#lastTick = { now, at: clock.wall(), term, since: this.#termSeenAt };
    await this.#place(this.#lastTick);
  }

  async #place(tick: PlacementTick): Promise<void> {
    const { consensus, log } = this.#parts;
    const { state } = consensus;
    const decision = this.#placement.pass(state, tick);
    this.#syncAddresses(state);
    for (const operation of decision.operations) {
      const address = this.#addresses.get(operation.vm);
      if (address !== undefined) {
        this.#agentClient.send(address, operation, (report, urgent) => {
          const now = this.#parts.clock.monotonic();
          this.#placement.report(report, { now, term: tick.term });
          if (urgent) {
            this.wake();
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
      this.wake();
    }
  }

  /** Updates the addresses. Those of VMs that left the inventory are kept, so that their runs can still be stopped. */
  #syncAddresses(state: State): void {
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

/** Whether no job is active, so that there is nothing to place, renew or end. */
function isIdle(state: State): boolean {
  for (const _ in state.jobs.active) {
    return false;
  }
  return true;
}
