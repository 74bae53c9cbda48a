/**
 * Relays the leader's calls to workers, at the other replicas.
 *
 * @module
 */
import {
  Err,
  type Fault,
  fault,
  Ok,
  parse,
  type Result,
} from "@quetzalcove/core";
import {
  parseTaskName,
  type ReceiveTime,
  TransitDelay,
} from "@quetzalcove/core/scheduling";
import type { Clock } from "../../clock.ts";
import type { Handlers } from "../../link/connection.ts";
import type { Log } from "../../observe/log.ts";
import type { Metrics } from "../../observe/metrics.ts";
import type { JobConsensus } from "../job_state_machine.ts";
import type { RenewalAnswer, WorkerClient } from "../platform_clients.ts";
import { FrameBatcher } from "./frame_batcher.ts";
import {
  type AnswerFrame,
  CallFrame,
  RELAY_METHODS,
  type RelayedAnswer,
  type RelayedCall,
  RelayRequest,
} from "./messages.ts";

/** Dependencies of a call relay. */
export interface CallRelayParts {
  /** IP address of this node. */
  host: string;
  consensus: Pick<JobConsensus, "state" | "leadership">;
  client: WorkerClient;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  /** Longest delay of a frame on its way, in milliseconds; calls that took longer are declined. */
  maxDelayMs: number;
  /** Sends a message to another node; it may be lost. */
  send: (host: string, method: string, params: unknown) => void;
}

/** The leader whose calls are relayed. */
interface Source {
  term: number;
  delay: TransitDelay;
  batcher: FrameBatcher<RelayedAnswer>;
}

type StartCall = Extract<RelayedCall, { kind: "start" }>;

export class CallRelay {
  readonly #parts: CallRelayParts;
  #source: Source | undefined;

  constructor(parts: CallRelayParts) {
    this.#parts = parts;
  }

  handlers(): Handlers {
    return new Map([
      [RELAY_METHODS.open, (params) => {
        const request = parse(RelayRequest, params, RELAY_METHODS.open);
        return Promise.resolve(request.andThen((read) => this.#open(read)));
      }],
      [RELAY_METHODS.calls, (params) => {
        const frame = parse(CallFrame, params, RELAY_METHODS.calls);
        return Promise.resolve(frame.map((read) => this.#receive(read)));
      }],
    ]);
  }

  /** Relays the calls of a leader from now on, unless this replica knows of a later term. */
  #open(request: RelayRequest): Result<void, Fault> {
    const { consensus, log } = this.#parts;
    const { leader, term, sentAtMs } = request;
    const known = Math.max(
      consensus.leadership().term,
      this.#source?.term ?? 0,
    );
    if (term < known) {
      return Err(fault("conflict", `Term ${term} ended; term is ${known} now`));
    }
    const delay = new TransitDelay();
    delay.record(sentAtMs, this.#clockTimes());
    this.#source = { term, delay, batcher: this.#batcherFor(request) };
    log.info("relay.opened", { leader, term });
    return Ok.EMPTY;
  }

  #receive(frame: CallFrame): void {
    const { consensus, metrics, maxDelayMs } = this.#parts;
    const source = this.#source;
    if (source?.term !== frame.term) {
      this.#decline(frame, this.#batcherFor(frame), "relay is not open");
      return;
    }
    const delayMs = source.delay.record(frame.sentAtMs, this.#clockTimes());
    metrics.observe("quetzalcove_relay_transit_seconds", delayMs);
    if (consensus.leadership().term > frame.term) {
      this.#decline(frame, source.batcher, "the term has ended");
    } else if (delayMs > maxDelayMs) {
      const reason = `on its way for ${Math.round(delayMs)} ms`;
      this.#decline(frame, source.batcher, reason);
    } else {
      for (const call of frame.calls) {
        void this.#relay(call, frame.term, source.batcher);
      }
    }
  }

  #clockTimes(): ReceiveTime {
    const { clock } = this.#parts;
    return { monotonic: clock.monotonic(), wall: clock.wall() };
  }

  #batcherFor(
    { leader, term }: RelayRequest,
  ): FrameBatcher<RelayedAnswer> {
    const { clock, host, send } = this.#parts;
    return new FrameBatcher(clock, (answers) => {
      const frame: AnswerFrame = { relay: host, term, answers };
      send(leader, RELAY_METHODS.answers, frame);
    });
  }

  #decline(
    { leader, term, calls }: CallFrame,
    batcher: FrameBatcher<RelayedAnswer>,
    reason: string,
  ): void {
    const { log, metrics } = this.#parts;
    log.warn("relay.declined", { leader, term, calls: calls.length, reason });
    for (const { kind, call } of calls) {
      metrics.count("quetzalcove_relay_declined_total", { kind });
      batcher.add({ kind: "declined", call, reason });
    }
  }

  async #relay(
    call: RelayedCall,
    term: number,
    batcher: FrameBatcher<RelayedAnswer>,
  ): Promise<void> {
    this.#parts.metrics.count("quetzalcove_relayed_calls_total", {
      kind: call.kind,
    });
    const answer = await this.#answerTo(call, term);
    if (answer !== undefined) {
      batcher.add(answer);
    }
  }

  async #answerTo(
    call: RelayedCall,
    term: number,
  ): Promise<RelayedAnswer | undefined> {
    const { client } = this.#parts;
    const worker = { id: call.worker, address: call.address };
    const fence = term;
    switch (call.kind) {
      case "start":
        return await this.#start(call, fence);
      case "stop": {
        const { task, run } = call;
        const answer = await client.stop(worker, { task, run, fence });
        return { kind: "order", call: call.call, ...answer };
      }
      case "pace": {
        const { task, run, percent } = call;
        const order = { task, run, fence };
        const answer = await client.pace(worker, order, percent);
        return { kind: "order", call: call.call, ...answer };
      }
      case "renew": {
        const { leaseDeadlineMs, seenEnds, waitMs, timeoutMs } = call;
        const renewal = {
          fence,
          leaseDeadlineMs,
          seenEnds,
          waitMs,
          timeoutMs,
        };
        return renewalAnswer(call.call, await client.renew(worker, renewal));
      }
      case "disconnect":
        client.disconnect(worker);
        return undefined;
    }
  }

  async #start(call: StartCall, fence: number): Promise<RelayedAnswer> {
    const { client, consensus } = this.#parts;
    const { task, run, leaseDeadlineMs, checkpoint, permit } = call;
    const job = consensus.state.jobs.get(parseTaskName(task)?.job ?? "");
    const text = job?.spec?.text;
    if (text === undefined) {
      const reason = `job of task ${task} is not known here yet`;
      return { kind: "declined", call: call.call, reason };
    }
    const order = {
      task,
      run,
      text,
      leaseDeadlineMs,
      fence,
      checkpoint,
      permit,
    };
    const worker = { id: call.worker, address: call.address };
    const answer = await client.start(worker, order);
    return { kind: "start", call: call.call, ...answer };
  }
}

function renewalAnswer(call: number, answer: RenewalAnswer): RelayedAnswer {
  if (answer.kind !== "listing") {
    return { ...answer, call };
  }
  const { running, ended, unreadableRows, hasMoreEnds } = answer.listing;
  return {
    kind: "listing",
    call,
    clockMs: answer.clockMs,
    running: running.map((
      { task, run, checkpoint, percent, gauge },
    ) => [task, run, checkpoint, percent, gauge]),
    ended: ended.map((
      { number, task, run, how, checkpoint },
    ) => [number, task, run, how, checkpoint]),
    unreadableRows,
    hasMoreEnds,
    bornAtMs: answer.bornAtMs,
  };
}
