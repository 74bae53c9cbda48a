/**
 * The work of the leader: grants leases to entries, accepts proposals, answers reads, and runs the passes that place
 * jobs, maintain VMs and update the ledger.
 *
 * @module
 */
import {
  Command,
  decideMaintenance,
  Err,
  type Fault,
  fault,
  type Hold,
  Ok,
  parse,
  Renewal,
  type Result,
  type Settings,
  type State,
} from "@quetzalcove/core";
import { z } from "zod";
import type { Clock } from "../clock.ts";
import type { Consensus } from "../consensus/consensus.ts";
import { type Component, type Ticker, ticker } from "../lifecycle.ts";
import type { Handler, Handlers } from "../link/connection.ts";
import type { Log, LogFields } from "../observe/log.ts";
import { extractContext, type Tracing } from "../observe/tracing.ts";
import type { PlatformAgentClient } from "../agents/platform_agent_client.ts";
import { dueLedgerCommands, longestRequestMs } from "./ledger_commands.ts";
import { HoldLog } from "./hold_log.ts";
import { PlacementController } from "./placement_controller.ts";
import { Observer } from "./observer.ts";
import { answerQuery, Query } from "./queries.ts";
import { LeaderTermState } from "./leader_term_state.ts";

/** Dependencies of the leader. */
export interface LeaderParts {
  settings: Settings;
  consensus: Consensus;
  clock: Clock;
  log: Log;
  agents: PlatformAgentClient;
  tracing: Tracing;
  /** Tells all entries to renew, because the view or the table of targets has changed. */
  notifyEntries: () => void;
}

/** The trace context of a proposal, as W3C trace headers. */
const TracedParams = z.object({
  trace: z.record(z.string(), z.string()).optional().catch(undefined),
});
const LeaseRelease = z.object({
  entry: z.string(),
  incarnation: z.number().int(),
});

/** Interval at which entry processes without a lease are fenced and the ledger is pruned. */
const LEDGER_INTERVAL_MS = 200;

/** Interval of maintenance passes that nothing else triggers. */
const MAINTENANCE_INTERVAL_MS = 500;

/** Limit on the processor time of maintenance passes, as a share of one core. */
const MAX_MAINTENANCE_CPU_SHARE = 0.01;

/** Rules that hold a planned stop until entries have renewed their leases. */
const RENEWAL_RULES: ReadonlySet<Hold["rule"]> = new Set([
  "view",
  "in_flight",
]);

/** Maximum interval to which the processor limit extends maintenance passes. */
const MAX_MAINTENANCE_INTERVAL_MS = 2_000;

export class Leader implements Component {
  readonly name = "leader";
  readonly #parts: LeaderParts;
  readonly #tickers: Component[];
  readonly #maintenanceTicker: Ticker;
  readonly #placementController: PlacementController;
  readonly #holdLog: HoldLog;
  #termState: LeaderTermState | undefined;
  #observer: Observer | undefined;
  #lastHolds: readonly Hold[] = [];
  #nextMaintenanceAt = -Infinity;
  /** Whether the next renewal may let a planned stop proceed. */
  #awaitsRenewals = false;
  #maintenanceTimer: NodeJS.Timeout | undefined;
  #notifiedRevision = 0;
  #notifiedTableVersion = 0;

  constructor(parts: LeaderParts) {
    this.#parts = parts;
    this.#placementController = new PlacementController(parts);
    this.#holdLog = new HoldLog(parts.log);
    this.#maintenanceTicker = ticker(
      "maintenance",
      MAINTENANCE_INTERVAL_MS,
      () => this.#runMaintenancePass(),
    );
    this.#tickers = [
      this.#placementController,
      ticker("ledger updates", LEDGER_INTERVAL_MS, () => this.#updateLedger()),
      this.#maintenanceTicker,
    ];
    parts.consensus.onChange(() => this.#onConsensusChange());
  }

  async start(): Promise<void> {
    this.#onConsensusChange();
    await Promise.all(this.#tickers.map((each) => each.start()));
  }

  async stop(): Promise<void> {
    clearTimeout(this.#maintenanceTimer);
    await Promise.all(this.#tickers.map((each) => each.stop()));
  }

  /** Handlers of the methods that entries call at the leader. */
  handlers(): Handlers {
    return new Map<string, Handler>([
      ["renew", (params) => this.#renew(params)],
      ["give_back", (params) => this.#releaseLease(params)],
      ["propose", (params) => this.#propose(params)],
      ["read", (params) => this.#read(params)],
    ]);
  }

  #onConsensusChange(): void {
    const { term, isLeader } = this.#parts.consensus.leadership();
    if (!isLeader) {
      this.#termState = undefined;
      return;
    }
    if (this.#termState?.term !== term) {
      const { settings, clock, log } = this.#parts;
      this.#termState = new LeaderTermState(settings, term, clock.monotonic());
      this.#observer = new Observer(clock.wall());
      log.info("leader.elected", { term });
    }
    this.#notifyOfChanges();
  }

  #notifyOfChanges(): void {
    const revision = this.#parts.consensus.state.revision;
    const tableVersion = this.#termState?.targets.version ?? 0;
    if (
      revision !== this.#notifiedRevision ||
      tableVersion !== this.#notifiedTableVersion
    ) {
      this.#notifiedRevision = revision;
      this.#notifiedTableVersion = tableVersion;
      this.#parts.notifyEntries();
    }
  }

  async #renew(params: unknown): Promise<Result<unknown, Fault>> {
    const parsed = parse(Renewal, params, "renewal");
    if (parsed.err) {
      return parsed;
    }
    return (await this.#confirmedTermState()).andThen(
      (termState): Result<unknown, Fault> => {
        const { consensus, clock } = this.#parts;
        const fenced = consensus.state.ledger.fenced[parsed.val.entry] ?? -1;
        if (parsed.val.incarnation <= fenced) {
          return Err(
            fault("fenced", `Incarnation ${parsed.val.incarnation} is fenced`, {
              version: fenced,
            }),
          );
        }
        const grant = termState.renew(
          parsed.val,
          consensus.state,
          clock.monotonic(),
        );
        this.#notifyOfChanges();
        if (this.#awaitsRenewals) {
          this.#scheduleMaintenancePass();
        }
        return Ok(grant);
      },
    );
  }

  #releaseLease(params: unknown): Promise<Result<unknown, Fault>> {
    return Promise.resolve(
      parse(LeaseRelease, params, "give_back").map(({ entry, incarnation }) => {
        this.#termState?.release(entry, incarnation);
        this.#notifyOfChanges();
        return {};
      }),
    );
  }

  async #propose(params: unknown): Promise<Result<unknown, Fault>> {
    const command = parse(Command, params, "command");
    if (command.err) {
      return command;
    }
    if (this.#termState === undefined) {
      return Err(this.#notLeaderFault());
    }
    const { trace } = TracedParams.parse(params);
    return trace === undefined
      ? await this.#proposeTimestamped(command.val)
      : await this.#parts.tracing.withSpan(
        "link",
        extractContext(trace),
        () => this.#proposeTimestamped(command.val),
      );
  }

  async #proposeTimestamped(command: Command): Promise<Result<unknown, Fault>> {
    const { consensus, clock } = this.#parts;
    const result = await consensus.propose(
      "at" in command ? { ...command, at: clock.wall() } : command,
    );
    if (command.kind === "job.submit" || command.kind === "job.cancel") {
      this.#placementController.wake();
    }
    if (command.kind === "vm.want" || command.kind === "configure") {
      this.#nextMaintenanceAt = -Infinity;
      this.#scheduleMaintenancePass();
    }
    return result;
  }

  async #read(params: unknown): Promise<Result<unknown, Fault>> {
    const query = parse(Query, params, "query");
    if (query.err) {
      return query;
    }
    return (await this.#confirmedTermState()).map((termState) => {
      const { consensus, clock } = this.#parts;
      return answerQuery(query.val, {
        state: consensus.state,
        termState,
        leadership: consensus.leadership(),
        replicas: consensus.replicas(),
        holds: this.#lastHolds,
        explain: (job) => this.#placementController.explain(job),
        now: clock.monotonic(),
        at: clock.wall(),
      });
    });
  }

  /** The state of the current term, after a quorum has confirmed that this replica still leads. */
  async #confirmedTermState(): Promise<Result<LeaderTermState, Fault>> {
    const termStateBefore = this.#termState;
    if (termStateBefore === undefined) {
      return Err(this.#notLeaderFault());
    }
    const confirmed = await this.#parts.consensus.barrier();
    if (confirmed.err) {
      return confirmed;
    }
    return this.#termState === termStateBefore
      ? Ok(termStateBefore)
      : Err(this.#notLeaderFault());
  }

  #notLeaderFault(): Fault {
    const { leader } = this.#parts.consensus.leadership();
    return fault(
      "not_leader",
      `Entry "${this.#parts.settings.entry}" does not lead`,
      {
        leader,
        outcome: "not run",
      },
    );
  }

  async #updateLedger(): Promise<void> {
    const { consensus, clock, settings } = this.#parts;
    const termState = this.#termState;
    if (termState === undefined) {
      return;
    }
    const now = clock.monotonic();
    termState.removeExpired(longestRequestMs(consensus.state), now);
    await this.#proposeAll(dueLedgerCommands({
      state: consensus.state,
      leases: termState.leases,
      retentionMs: settings.ledger.retentionMs,
      now,
      at: clock.wall(),
    }));
  }

  /** Decides on planned stops and waves, after a quorum has confirmed that this replica still leads. */
  async #runMaintenancePass(): Promise<void> {
    const { consensus, clock, agents } = this.#parts;
    if (clock.monotonic() < this.#nextMaintenanceAt) {
      return;
    }
    const confirmed = await this.#confirmedTermState();
    const observer = this.#observer;
    if (confirmed.err || observer === undefined) {
      return;
    }
    const { state } = consensus;
    const time = { now: clock.monotonic(), at: clock.wall() };
    const cpuMsBefore = clock.processor();
    const observation = observer.observe(state, confirmed.val, agents, time);
    const decision = decideMaintenance(state, observation, { now: time.at });
    const cpuMs = clock.processor() - cpuMsBefore;
    this.#nextMaintenanceAt = time.now +
      Math.min(MAX_MAINTENANCE_INTERVAL_MS, cpuMs / MAX_MAINTENANCE_CPU_SHARE);
    this.#lastHolds = decision.holds;
    this.#holdLog.update(decision.holds, time.now);
    this.#awaitsRenewals = decision.commands.length > 0 ||
      decision.holds.some((hold) => RENEWAL_RULES.has(hold.rule));
    for (const action of decision.actions) {
      agents.order(
        agentAddressOf(state, action.vm),
        action,
        confirmed.val.term,
      );
    }
    await this.#proposeAll(decision.commands);
  }

  /** Schedules a maintenance pass as soon as the processor limit allows. */
  #scheduleMaintenancePass(): void {
    const delayMs = this.#nextMaintenanceAt - this.#parts.clock.monotonic();
    this.#maintenanceTimer ??= setTimeout(() => {
      this.#maintenanceTimer = undefined;
      this.#maintenanceTicker.runNow();
    }, Math.max(0, delayMs));
  }

  async #proposeAll(commands: readonly Command[]): Promise<void> {
    const { consensus, log } = this.#parts;
    const results = await Promise.all(
      commands.map((command) => consensus.propose(command)),
    );
    results.forEach((result, index) => {
      log.info("leader.decided", {
        ...summaryOf(commands[index]),
        fault: result.err ? result.val.kind : undefined,
      });
    });
  }
}

function agentAddressOf(state: State, vm: string): string | undefined {
  return state.inventory.vms.find((listed) => listed.name === vm)?.agent;
}

function summaryOf(command: Command | undefined): LogFields {
  if (command === undefined) {
    return {};
  }
  return {
    command: command.kind,
    vm: "vm" in command ? command.vm : undefined,
    to: "to" in command ? command.to : undefined,
    reason: "reason" in command ? String(command.reason) : undefined,
  };
}
