/**
 * The task of the leader: it grants leases, takes proposals, answers reads and proposes the commands that are due.
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
import type { Fields, Log } from "../observe/log.ts";
import { extractContext, type Tracing } from "../observe/tracing.ts";
import type { PlatformAgents } from "../agents/agents.ts";
import { dueCommands, longestRequestMs } from "./conductor.ts";
import { HoldLog } from "./hold_log.ts";
import { Placer } from "./placer.ts";
import { Observer } from "./observer.ts";
import { answerQuery, Query } from "./queries.ts";
import { Tenure } from "./tenure.ts";

/** What the leader task needs. */
export interface LeaderParts {
  settings: Settings;
  consensus: Consensus;
  clock: Clock;
  log: Log;
  agents: PlatformAgents;
  tracing: Tracing;
  /** Tells all entries that a renewal would bring news. */
  announceNews: () => void;
}

/** The trace context of a proposal, in the headers of W3C. */
const Traced = z.object({
  trace: z.record(z.string(), z.string()).optional().catch(undefined),
});
const GiveBack = z.object({ entry: z.string(), incarnation: z.number().int() });

/** Interval of fencing and pruning, in milliseconds. */
const TICK_MS = 200;

/** Shortest interval of decisions on planned stops and waves, in milliseconds. */
const MAINTENANCE_MS = 500;

/** Most of the processor that decisions may take, as a share of a core. */
const MAINTENANCE_SHARE = 0.01;

/** Rules that hold a stop until entries have renewed their leases. */
const AWAITING_RULES: ReadonlySet<Hold["rule"]> = new Set([
  "view",
  "in_flight",
]);

/** Longest interval of these decisions, in milliseconds. */
const MAX_MAINTENANCE_MS = 2_000;

export class Leader implements Component {
  readonly name = "leader";
  readonly #parts: LeaderParts;
  readonly #tickers: Component[];
  readonly #maintenance: Ticker;
  readonly #placer: Placer;
  readonly #holdLog: HoldLog;
  #tenure: Tenure | undefined;
  #observer: Observer | undefined;
  #holds: readonly Hold[] = [];
  #maintainNotBefore = -Infinity;
  /** Whether a stop waits for what a renewal may bring. */
  #awaitsRenewals = false;
  #soon: NodeJS.Timeout | undefined;
  #newsRevision = 0;
  #newsTable = 0;

  constructor(parts: LeaderParts) {
    this.#parts = parts;
    this.#placer = new Placer(parts);
    this.#holdLog = new HoldLog(parts.log);
    this.#maintenance = ticker(
      "maintenance",
      MAINTENANCE_MS,
      () => this.#maintain(),
    );
    this.#tickers = [
      this.#placer,
      ticker("ledger upkeep", TICK_MS, () => this.#keepLedger()),
      this.#maintenance,
    ];
    parts.consensus.onChange(() => this.#follow());
  }

  async start(): Promise<void> {
    this.#follow();
    await Promise.all(this.#tickers.map((each) => each.start()));
  }

  async stop(): Promise<void> {
    clearTimeout(this.#soon);
    await Promise.all(this.#tickers.map((each) => each.stop()));
  }

  /** The methods that entries call at the leader. */
  handlers(): Handlers {
    return new Map<string, Handler>([
      ["renew", (params) => this.#renew(params)],
      ["give_back", (params) => this.#giveBack(params)],
      ["propose", (params) => this.#propose(params)],
      ["read", (params) => this.#read(params)],
    ]);
  }

  #follow(): void {
    const { term, isLeader } = this.#parts.consensus.leadership();
    if (!isLeader) {
      this.#tenure = undefined;
      return;
    }
    if (this.#tenure?.term !== term) {
      const { settings, clock, log } = this.#parts;
      this.#tenure = new Tenure(settings, term, clock.monotonic());
      this.#observer = new Observer(clock.wall());
      log.info("leader.elected", { term });
    }
    this.#announceNews();
  }

  #announceNews(): void {
    const revision = this.#parts.consensus.state.revision;
    const table = this.#tenure?.targets.version ?? 0;
    if (revision !== this.#newsRevision || table !== this.#newsTable) {
      this.#newsRevision = revision;
      this.#newsTable = table;
      this.#parts.announceNews();
    }
  }

  async #renew(params: unknown): Promise<Result<unknown, Fault>> {
    const parsed = parse(Renewal, params, "renewal");
    if (parsed.err) {
      return parsed;
    }
    return (await this.#confirmed()).andThen(
      (tenure): Result<unknown, Fault> => {
        const { consensus, clock } = this.#parts;
        const fenced = consensus.state.ledger.fenced[parsed.val.entry] ?? -1;
        if (parsed.val.incarnation <= fenced) {
          return Err(
            fault("fenced", `Incarnation ${parsed.val.incarnation} is fenced`, {
              version: fenced,
            }),
          );
        }
        const grant = tenure.renew(
          parsed.val,
          consensus.state,
          clock.monotonic(),
        );
        this.#announceNews();
        if (this.#awaitsRenewals) {
          this.#maintainSoon();
        }
        return Ok(grant);
      },
    );
  }

  #giveBack(params: unknown): Promise<Result<unknown, Fault>> {
    return Promise.resolve(
      parse(GiveBack, params, "give_back").map(({ entry, incarnation }) => {
        this.#tenure?.giveBack(entry, incarnation);
        this.#announceNews();
        return {};
      }),
    );
  }

  async #propose(params: unknown): Promise<Result<unknown, Fault>> {
    const command = parse(Command, params, "command");
    if (command.err) {
      return command;
    }
    if (this.#tenure === undefined) {
      return Err(this.#notLeader());
    }
    const { trace } = Traced.parse(params);
    return trace === undefined
      ? await this.#stamped(command.val)
      : await this.#parts.tracing.within(
        "link",
        extractContext(trace),
        () => this.#stamped(command.val),
      );
  }

  async #stamped(command: Command): Promise<Result<unknown, Fault>> {
    const { consensus, clock } = this.#parts;
    const result = await consensus.propose(
      "at" in command ? { ...command, at: clock.wall() } : command,
    );
    if (command.kind === "job.submit" || command.kind === "job.cancel") {
      this.#placer.poke();
    }
    if (command.kind === "vm.want" || command.kind === "configure") {
      this.#maintainNotBefore = -Infinity;
      this.#maintainSoon();
    }
    return result;
  }

  async #read(params: unknown): Promise<Result<unknown, Fault>> {
    const query = parse(Query, params, "query");
    if (query.err) {
      return query;
    }
    return (await this.#confirmed()).map((tenure) => {
      const { consensus, clock } = this.#parts;
      return answerQuery(query.val, {
        state: consensus.state,
        tenure,
        leadership: consensus.leadership(),
        replicas: consensus.replicas(),
        holds: this.#holds,
        explain: (job) => this.#placer.explain(job),
        now: clock.monotonic(),
        at: clock.wall(),
      });
    });
  }

  /** The tenure, after a quorum confirmed that this replica still leads. */
  async #confirmed(): Promise<Result<Tenure, Fault>> {
    const before = this.#tenure;
    if (before === undefined) {
      return Err(this.#notLeader());
    }
    const confirmed = await this.#parts.consensus.barrier();
    if (confirmed.err) {
      return confirmed;
    }
    return this.#tenure === before ? Ok(before) : Err(this.#notLeader());
  }

  #notLeader(): Fault {
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

  async #keepLedger(): Promise<void> {
    const { consensus, clock, settings } = this.#parts;
    const tenure = this.#tenure;
    if (tenure === undefined) {
      return;
    }
    const now = clock.monotonic();
    tenure.expire(longestRequestMs(consensus.state), now);
    await this.#proposeAll(dueCommands({
      state: consensus.state,
      leases: tenure.leases,
      retentionMs: settings.ledger.retentionMs,
      now,
      at: clock.wall(),
    }));
  }

  /** Decides on planned stops and waves, after a quorum confirmed that this replica still leads. */
  async #maintain(): Promise<void> {
    const { consensus, clock, agents } = this.#parts;
    if (clock.monotonic() < this.#maintainNotBefore) {
      return;
    }
    const confirmed = await this.#confirmed();
    const observer = this.#observer;
    if (confirmed.err || observer === undefined) {
      return;
    }
    const { state } = consensus;
    const moment = { now: clock.monotonic(), at: clock.wall() };
    const usedBefore = clock.processor();
    const observation = observer.observe(state, confirmed.val, agents, moment);
    const decision = decideMaintenance(state, observation, { now: moment.at });
    const usedMs = clock.processor() - usedBefore;
    this.#maintainNotBefore = moment.now +
      Math.min(MAX_MAINTENANCE_MS, usedMs / MAINTENANCE_SHARE);
    this.#holds = decision.holds;
    this.#holdLog.note(decision.holds, moment.now);
    this.#awaitsRenewals = decision.commands.length > 0 ||
      decision.holds.some((hold) => AWAITING_RULES.has(hold.rule));
    for (const action of decision.actions) {
      agents.order(agentOf(state, action.vm), action, confirmed.val.term);
    }
    await this.#proposeAll(decision.commands);
  }

  /** Decides again as soon as the share of the processor allows it. */
  #maintainSoon(): void {
    const delayMs = this.#maintainNotBefore - this.#parts.clock.monotonic();
    this.#soon ??= setTimeout(() => {
      this.#soon = undefined;
      this.#maintenance.runNow();
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

function agentOf(state: State, vm: string): string | undefined {
  return state.inventory.vms.find((listed) => listed.name === vm)?.agent;
}

function summaryOf(command: Command | undefined): Fields {
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
