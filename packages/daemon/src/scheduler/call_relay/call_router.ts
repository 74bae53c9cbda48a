/**
 * Routes the leader's calls to workers: the other replicas relay them, and the leader makes them itself where none can.
 *
 * A call that a relay may have sent and that gets no answer counts as unanswered, like one that was lost on the
 * network: it may still be carried out.
 *
 * @module
 */
import { type Fault, Ok, parse, type Result } from "@quetzalcove/core";
import {
  areRelaysWorthwhile,
  chooseRelay,
  type RelayCandidate,
  usableRelays,
} from "@quetzalcove/core/scheduling";
import type { Clock } from "../../clock.ts";
import { type Component, ticker } from "../../lifecycle.ts";
import type { Log } from "../../observe/log.ts";
import type { Metrics } from "../../observe/metrics.ts";
import type {
  AnswerWithClock,
  CalledWorker,
  RenewalAnswer,
  StartReply,
  WorkerClient,
} from "../platform_clients.ts";
import { FrameBatcher } from "./frame_batcher.ts";
import {
  AnswerFrame,
  type CallFrame,
  RELAY_METHODS,
  type RelayedAnswer,
  type RelayedCall,
} from "./messages.ts";

/** Dependencies of a call router. */
export interface CallRouterParts {
  /** IP address of this node. */
  host: string;
  term: number;
  /** Calls workers from this node. */
  direct: WorkerClient;
  /** Zone of a worker, if it is known. */
  zoneOf: (worker: string) => string | undefined;
  /** Number of workers from which calls are relayed. */
  relayFromWorkers: number;
  workerCount: () => number;
  /** Replicas other than this one. */
  candidates: () => RelayCandidate[];
  isConfirmedLeader: () => boolean;
  /** Deadline of a call beyond the time that it waits at the worker, in milliseconds. */
  callTimeoutMs: number;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  /** Sends a message to another node; it may be lost. */
  send: (host: string, method: string, params: unknown) => void;
  /** Calls a method of another node. */
  request: (
    host: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ) => Promise<Result<unknown, Fault>>;
}

/** A call before it has a number and the address of its worker. */
type CallBody = RelayedCall extends infer C
  ? C extends RelayedCall ? Omit<C, "call" | "worker" | "address"> : never
  : never;

/** `unsent`: certainly not sent by a relay. `lost`: the relay is gone or does not answer. */
type Outcome = RelayedAnswer | { kind: "unsent" } | { kind: "lost" };

interface Route {
  /** Undefined if the worker is called directly. */
  relay: string | undefined;
  /** The present and former relays, which may have connections to the worker; undefined for this node. */
  callers: Set<string | undefined>;
}

interface PendingCall {
  relay: string;
  /** Monotonic time in milliseconds after which the call counts as unanswered. */
  deadline: number;
  settle: (outcome: Outcome) => void;
}

/** Interval at which the relays are chosen anew and overdue calls end. */
const CHECK_INTERVAL_MS = 100;

/** Delay before a frame is tried again while leadership is not confirmed. */
const UNCONFIRMED_DELAY_MS = 20;

/** Deadline of the request to relay calls: some round trips, since a new leader waits for the answers. */
const OPEN_TIMEOUT_MS = 100;

/** Added to the deadline of a relayed call, since the relay counts its own from a moment later. */
const RELAY_MARGIN_MS = 300;

export class CallRouter implements Component {
  readonly name = "call router";
  /** Client whose calls are relayed where possible. */
  readonly client: WorkerClient;
  readonly #parts: CallRouterParts;
  readonly #ticker: Component;
  readonly #batchers = new Map<string, FrameBatcher<RelayedCall>>();
  readonly #pending = new Map<number, PendingCall>();
  /** How each worker is called. */
  readonly #routes = new Map<string, Route>();
  /** Hosts that agreed to relay the calls of this term. */
  readonly #opened = new Set<string>();
  readonly #opening = new Set<string>();
  #relays: RelayCandidate[] = [];
  #callCount = 0;
  #stopped = false;

  constructor(parts: CallRouterParts) {
    this.#parts = parts;
    this.#ticker = ticker("relays", CHECK_INTERVAL_MS, () => this.#check());
    this.client = this.#createClient();
  }

  /**
   * Asks the other replicas to relay calls. With so many workers that relays are used, waits until they have agreed, or
   * did not answer in time, as a replica that was lost with the earlier leader.
   */
  async start(): Promise<void> {
    const { candidates, relayFromWorkers, workerCount } = this.#parts;
    const opened = Promise.all(
      candidates().map(({ host }) => this.#open(host)),
    );
    if (areRelaysWorthwhile(workerCount(), relayFromWorkers, false)) {
      await opened;
    }
    this.#chooseRelays();
    await this.#ticker.start();
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#ticker.stop();
    for (const call of [...this.#pending.keys()]) {
      this.#settle(call, { kind: "lost" });
    }
  }

  /** Hosts that relay calls now. */
  get relays(): string[] {
    return this.#relays.map(({ host }) => host);
  }

  /** Handles the answers of a relay. */
  receive(params: unknown): Result<void, Fault> {
    return parse(AnswerFrame, params, RELAY_METHODS.answers).andThen(
      ({ term, answers }) => {
        // Answers to an earlier term of this node name calls of that term.
        if (term === this.#parts.term) {
          answers.forEach((answer) => this.#settle(answer.call, answer));
        }
        return Ok.EMPTY;
      },
    );
  }

  #createClient(): WorkerClient {
    const { direct } = this.#parts;
    return {
      start: async (worker, order) => {
        const { task, run, leaseDeadlineMs, checkpoint, permit } = order;
        const outcome = await this.#call(worker, {
          kind: "start",
          task,
          run,
          leaseDeadlineMs,
          checkpoint,
          permit,
        });
        if (this.#isForDirectCall(outcome)) {
          return await direct.start(worker, order);
        }
        return startReply(outcome);
      },
      stop: async (worker, order) => {
        const { task, run } = order;
        const outcome = await this.#call(worker, { kind: "stop", task, run });
        return this.#isForDirectCall(outcome)
          ? await direct.stop(worker, order)
          : orderAnswer(outcome);
      },
      pace: async (worker, order, percent) => {
        const { task, run } = order;
        const call = { kind: "pace", task, run, percent } as const;
        const outcome = await this.#call(worker, call);
        return this.#isForDirectCall(outcome)
          ? await direct.pace(worker, order, percent)
          : orderAnswer(outcome);
      },
      renew: async (worker, renewal) => {
        const { leaseDeadlineMs, seenEnds, waitMs, timeoutMs } = renewal;
        const call = {
          kind: "renew",
          leaseDeadlineMs,
          seenEnds,
          waitMs,
          timeoutMs,
        };
        const outcome = await this.#call(worker, call as CallBody, waitMs);
        if (this.#isForDirectCall(outcome)) {
          return await direct.renew(worker, renewal);
        }
        // A renewal may be sent twice, so that a lost relay does not make its workers seem silent.
        return this.#mayRepeat(outcome)
          ? await direct.renew(worker, { ...renewal, waitMs: 0 })
          : renewalAnswer(outcome);
      },
      disconnect: (worker) => {
        const callers = this.#routes.get(worker.id)?.callers ?? [undefined];
        callers.forEach((caller) => this.#disconnect(worker, caller));
        this.#routes.delete(worker.id);
      },
    };
  }

  #isForDirectCall({ kind }: Outcome): boolean {
    return (kind === "unsent" || kind === "declined") && this.#mayCall;
  }

  #mayRepeat({ kind }: Outcome): boolean {
    return kind === "lost" && this.#mayCall;
  }

  get #mayCall(): boolean {
    return !this.#stopped && this.#parts.isConfirmedLeader();
  }

  /** Sends a call to the relay of a worker; resolves with its answer, or why there is none. */
  #call(
    worker: CalledWorker,
    body: CallBody,
    waitMs = 0,
  ): Promise<Outcome> {
    const { clock, callTimeoutMs } = this.#parts;
    const relay = this.#stopped ? undefined : this.#relayFor(worker);
    if (relay === undefined) {
      return Promise.resolve({ kind: "unsent" });
    }
    this.#callCount += 1;
    const call = this.#callCount;
    const { id, address } = worker;
    const deadline = clock.monotonic() + callTimeoutMs + waitMs +
      RELAY_MARGIN_MS;
    return new Promise((settle) => {
      this.#pending.set(call, { relay, deadline, settle });
      this.#batcherOf(relay).add(
        { ...body, call, worker: id, address } as RelayedCall,
      );
    });
  }

  #settle(call: number, outcome: Outcome): void {
    const pending = this.#pending.get(call);
    if (pending !== undefined) {
      this.#pending.delete(call);
      pending.settle(outcome);
    }
  }

  #batcherOf(relay: string): FrameBatcher<RelayedCall> {
    let batcher = this.#batchers.get(relay);
    if (batcher === undefined) {
      batcher = new FrameBatcher<RelayedCall>(
        this.#parts.clock,
        (calls) => this.#sendFrame(relay, calls),
      );
      this.#batchers.set(relay, batcher);
    }
    return batcher;
  }

  /** Sends calls in one frame, once leadership is confirmed. Those whose deadline passes before are never sent. */
  #sendFrame(relay: string, calls: RelayedCall[]): void {
    const { host, term, clock, send } = this.#parts;
    const wanted = calls.filter(({ kind, call }) =>
      kind === "disconnect" || this.#pending.has(call)
    );
    if (this.#stopped || wanted.length === 0) {
      return;
    }
    if (!this.#mayCall) {
      setTimeout(() => this.#sendFrame(relay, wanted), UNCONFIRMED_DELAY_MS);
      return;
    }
    const frame: CallFrame = {
      leader: host,
      term,
      sentAtMs: clock.wall(),
      calls: wanted,
    };
    send(relay, RELAY_METHODS.calls, frame);
  }

  #relayFor({ id }: CalledWorker): string | undefined {
    let route = this.#routes.get(id);
    if (route === undefined) {
      const zone = this.#parts.zoneOf(id) ?? "";
      const relay = chooseRelay({ id, zone }, this.#relays);
      route = { relay, callers: new Set([relay]) };
      this.#routes.set(id, route);
    }
    return route.relay;
  }

  #disconnect(
    { id, address }: CalledWorker,
    relay: string | undefined,
  ): void {
    if (relay === undefined) {
      this.#parts.direct.disconnect({ id, address });
    } else if (this.relays.includes(relay)) {
      this.#callCount += 1;
      const call = this.#callCount;
      this.#batcherOf(relay).add(
        { kind: "disconnect", call, worker: id, address },
      );
    }
  }

  #check(): void {
    this.#chooseRelays();
    const now = this.#parts.clock.monotonic();
    const { relays } = this;
    for (const [call, { relay, deadline }] of this.#pending) {
      if (!relays.includes(relay)) {
        this.#settle(call, { kind: "lost" });
      } else if (now > deadline) {
        const reason = `relay ${relay} gave no answer`;
        this.#settle(call, { kind: "no_answer", call, reason });
      }
    }
  }

  /** Chooses the usable relays; when they change, each worker gets its relay anew with its next call. */
  #chooseRelays(): void {
    const { candidates, relayFromWorkers, workerCount, log } = this.#parts;
    const before = this.relays;
    const areInUse = before.length > 0;
    const usable =
      areRelaysWorthwhile(workerCount(), relayFromWorkers, areInUse)
        ? usableRelays(candidates(), before)
        : [];
    const hosts = usable.map(({ host }) => host);
    for (const host of this.#opened) {
      // It may have been restarted, so it has to agree again.
      if (!hosts.includes(host)) {
        this.#opened.delete(host);
      }
    }
    hosts.filter((host) => !this.#opened.has(host)).forEach((host) =>
      void this.#open(host)
    );
    this.#relays = usable.filter(({ host }) => this.#opened.has(host));
    const after = this.relays;
    if (String(before) !== String(after)) {
      log.info("relays.chosen", {
        relays: after.join(","),
        before: before.join(","),
      });
      this.#reassign();
    }
  }

  /** Gives each worker its relay anew. Calls in progress end where they began. */
  #reassign(): void {
    for (const [id, route] of this.#routes) {
      const zone = this.#parts.zoneOf(id) ?? "";
      route.relay = chooseRelay({ id, zone }, this.#relays);
      route.callers.add(route.relay);
    }
  }

  async #open(host: string): Promise<void> {
    const { host: leader, term, clock, request } = this.#parts;
    if (this.#opening.has(host)) {
      return;
    }
    this.#opening.add(host);
    const opened = await request(
      host,
      RELAY_METHODS.open,
      { leader, term, sentAtMs: clock.wall() },
      OPEN_TIMEOUT_MS,
    );
    this.#opening.delete(host);
    if (opened.ok) {
      this.#opened.add(host);
    }
  }
}

function orderAnswer(outcome: Outcome): AnswerWithClock<boolean> {
  return outcome.kind === "order"
    ? { answer: outcome.answer, clockMs: outcome.clockMs }
    : { answer: false, clockMs: undefined };
}

function startReply(outcome: Outcome): StartReply {
  if (outcome.kind !== "start") {
    return { answer: "no_answer", clockMs: undefined };
  }
  const { answer, clockMs, isCopyInDoubt, refusedCopy } = outcome;
  return {
    answer,
    clockMs,
    ...(isCopyInDoubt === true && { isCopyInDoubt }),
    ...(refusedCopy !== undefined && { refusedCopy }),
  };
}

function renewalAnswer(outcome: Outcome): RenewalAnswer {
  switch (outcome.kind) {
    case "listing":
      return {
        kind: "listing",
        clockMs: outcome.clockMs,
        bornAtMs: outcome.bornAtMs,
        listing: {
          running: outcome.running.map((
            [task, run, checkpoint, percent, gauge],
          ) => ({ task, run, checkpoint, percent, gauge })),
          ended: outcome.ended.map((
            [number, task, run, how, checkpoint],
          ) => ({ number, task, run, how, checkpoint })),
          unreadableRows: outcome.unreadableRows,
          hasMoreEnds: outcome.hasMoreEnds,
        },
      };
    case "other_worker":
    case "fenced":
      return { kind: outcome.kind };
    case "no_answer":
    case "declined":
      return { kind: "no_answer", reason: outcome.reason };
    case "lost":
      return { kind: "no_answer", reason: "its relay was lost" };
    default:
      return { kind: "no_answer", reason: "the call was not relayed" };
  }
}
