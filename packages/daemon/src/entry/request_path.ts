/**
 * The path of one request through an entry: admission, ledger, target, answer.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import type { Context } from "@opentelemetry/api";
import {
  type Answer,
  type Fault,
  fault,
  type LedgerOutput,
  type Outcome,
  type Result,
  type Settings,
} from "@quetzalcove/core";
import type { Clock } from "../clock.ts";
import { within } from "../deadline.ts";
import type { Log } from "../observe/log.ts";
import { traceIdOf } from "../observe/tracing.ts";
import { type HttpReply, problemReply } from "../problem.ts";
import { answerReply, replayReply, storedAnswer } from "./answer.ts";
import { type AttemptEnd, type AttemptParts, runAttempt } from "./attempt.ts";
import type { Dispatcher, Turn } from "./dispatcher.ts";
import type { Claim, LedgerClient } from "./ledger_client.ts";
import { refusedReply } from "./refusal.ts";
import {
  digestOf,
  type IncomingRequest,
  type Keyed,
  keyOf,
  type Treatment,
  treatmentOf,
} from "./request.ts";
import type { Usage } from "./usage.ts";

/** What the request path needs. */
export interface RequestParts extends AttemptParts {
  settings: Settings;
  dispatcher: Dispatcher;
  ledger: LedgerClient;
  usage: Usage;
  clock: Clock;
  log: Log;
}

/** A request on its way. */
interface Journey {
  request: IncomingRequest;
  treatment: Treatment;
  claim: Claim | undefined;
  /** Whether the ledger granted the claim to this journey. */
  begun: boolean;
  /** Whether an attempt was sent; a later one that is refused does not undo that. */
  mayHaveRun: boolean;
  /** Monotonic time by which the caller needs the answer. */
  deadline: number;
  context: Context;
}

/** When a caller should ask again for a request that is still running, in milliseconds. */
const RUNNING_RETRY_MS = 1_000;
const NO_LEASE_RETRY_MS = 1_000;

/** Longest wait for the ledger before a request is refused, in milliseconds. */
const LEDGER_TIMEOUT_MS = 2_000;

/** How long a refusal waits for the ledger to take an attempt back, in milliseconds. */
const GIVE_BACK_TIMEOUT_MS = 500;

export class RequestPath {
  readonly #parts: RequestParts;

  constructor(parts: RequestParts) {
    this.#parts = parts;
  }

  /** Serves a request. Every request gets exactly one reply. */
  async serve(request: IncomingRequest, context: Context): Promise<HttpReply> {
    const { membership } = this.#parts;
    if (!membership.mayServe()) {
      return await this.refuse(request, noLease());
    }
    const service = membership.view.service(request.service);
    if (service === undefined) {
      return await this.refuse(request, unknownService(request.service));
    }
    const treatment = treatmentOf(request, service);
    if (treatment.err) {
      return await this.refuse(request, treatment.val);
    }
    return await this.#admit(request, treatment.val, context);
  }

  /** Refuses a request before it is admitted. */
  refuse(
    request: Keyed & { service: string },
    cause: Fault,
  ): Promise<HttpReply> {
    const service = this.#parts.membership.view.service(request.service);
    return refusedReply(this.#parts, cause, keyOf(request, service));
  }

  async #admit(
    request: IncomingRequest,
    treatment: Treatment,
    context: Context,
  ): Promise<HttpReply> {
    const { dispatcher, tracing, clock, usage } = this.#parts;
    const deadline = clock.monotonic() + treatment.deadlineMs;
    const journey: Journey = {
      request,
      treatment,
      claim: this.#claimOf(request, treatment),
      begun: false,
      mayHaveRun: false,
      deadline,
      context,
    };
    usage.entered(treatment.service.name);
    const turn = await tracing.within("queue", context, () => {
      this.#watchCaller(journey);
      return dispatcher.submit({
        id: request.id,
        service: treatment.service.name,
        priority: treatment.priority,
        deadline,
        repeatable: treatment.repeatable,
      });
    });
    const reply = await this.#takeFirstTurn(journey, turn);
    dispatcher.forget(request.id);
    usage.left(treatment.service.name, reply.status);
    return reply;
  }

  /** A request that still waits when its caller goes away is taken back; it did not run. */
  #watchCaller({ request }: Journey): void {
    const { dispatcher } = this.#parts;
    request.callerGone.addEventListener(
      "abort",
      () => dispatcher.cancel(request.id),
      {
        once: true,
      },
    );
  }

  #claimOf(request: IncomingRequest, treatment: Treatment): Claim | undefined {
    if (treatment.key === undefined) {
      return undefined;
    }
    return {
      key: treatment.key,
      digest: digestOf(request),
      attempt: randomUUID(),
      entry: this.#parts.settings.entry,
      incarnation: this.#parts.membership.incarnation,
      service: treatment.service.name,
    };
  }

  async #takeFirstTurn(journey: Journey, turn: Turn): Promise<HttpReply> {
    if (turn.kind !== "send") {
      return await this.#refuse(journey, refusalOf(turn));
    }
    if (journey.claim === undefined) {
      return await this.#attempt(journey, turn.target);
    }
    return await this.#attemptOnce(journey, journey.claim, turn.target);
  }

  /** Takes the attempt in the ledger before the request is sent. */
  async #attemptOnce(
    journey: Journey,
    claim: Claim,
    target: string,
  ): Promise<HttpReply> {
    const { tracing, ledger, dispatcher, clock } = this.#parts;
    const timeoutMs = Math.min(
      LEDGER_TIMEOUT_MS,
      journey.deadline - clock.monotonic(),
    );
    const begun = await tracing.within(
      "ledger",
      journey.context,
      (context) => ledger.begin(claim, { timeoutMs, context }),
    );
    if (begun.ok && begun.val.kind === "granted") {
      journey.begun = true;
      return await this.#attemptInTime(journey, target);
    }
    dispatcher.complete(journey.request.id, "unsent");
    return begun.ok ? heldReply(begun.val) : this.#notBegun(claim, begun.val);
  }

  /** The process may have been frozen while the ledger was asked. */
  async #attemptInTime(journey: Journey, target: string): Promise<HttpReply> {
    const { clock, dispatcher } = this.#parts;
    if (clock.monotonic() < journey.deadline) {
      return await this.#attempt(journey, target);
    }
    dispatcher.complete(journey.request.id, "unsent");
    return await this.#refuse(
      journey,
      fault("expired", "The deadline passed before the request was sent"),
    );
  }

  /** The attempt may have been granted with its answer lost, so it is given back in the background. */
  #notBegun(claim: Claim, cause: Fault): HttpReply {
    if (cause.kind === "key_reused") {
      return problemReply(cause);
    }
    void this.#giveBack(claim);
    // An earlier request under the same key may have run; only this one surely did not.
    return problemReply({
      ...cause,
      outcome: "unknown",
      retryAfterMs: RUNNING_RETRY_MS,
    });
  }

  async #giveBack(claim: Claim): Promise<void> {
    const released = await this.#parts.ledger.release(claim);
    if (released.err) {
      this.#parts.log.warn("ledger.release_failed", {
        key: claim.key,
        kind: released.val.kind,
        reason: released.val.message,
      });
    }
  }

  async #attempt(journey: Journey, target: string): Promise<HttpReply> {
    const { dispatcher } = this.#parts;
    const { request, treatment } = journey;
    const next = dispatcher.next(request.id);
    const running = runAttempt(
      this.#parts,
      { request, treatment, target },
      journey.context,
    );
    const first = await Promise.race([running, next]);
    if ("kind" in first) {
      void running.then((end) => this.#settleLate(journey, end));
      return this.#timedOut(journey, first);
    }
    return await this.#settle(journey, first, next);
  }

  async #settle(
    journey: Journey,
    end: AttemptEnd,
    next: Promise<Turn>,
  ): Promise<HttpReply> {
    const { dispatcher } = this.#parts;
    const { id } = journey.request;
    journey.mayHaveRun ||= end.result.ok || end.result.val.sent;
    if (end.completion === "ok") {
      dispatcher.complete(id, "ok");
      return await this.#answer(journey, end);
    }
    const turn = dispatcher.complete(id, end.completion)
      ? await next
      : undefined;
    if (turn?.kind === "send") {
      return await this.#attempt(journey, turn.target);
    }
    return await this.#answer(journey, end);
  }

  /** Turns the end of the last attempt into the reply and records it. */
  async #answer(journey: Journey, end: AttemptEnd): Promise<HttpReply> {
    const { claim, treatment } = journey;
    if (end.result.ok) {
      const answer = end.result.val;
      if (claim !== undefined) {
        const stored = storedAnswer(answer, this.#parts.settings.ledger);
        await within(this.#left(journey), this.#record(claim, stored));
      }
      return answerReply(answer, traceIdOf(journey.context));
    }
    const { fault: cause } = end.result.val;
    if (!journey.mayHaveRun) {
      return await this.#refuse(journey, cause);
    }
    if (claim !== undefined) {
      void this.#parts.ledger.lose(claim);
    }
    const outcome: Outcome = "unknown";
    return problemReply({
      ...cause,
      outcome,
      ...(treatment.repeatable && { retryAfterMs: 0 }),
    });
  }

  #left({ deadline }: Journey): number {
    return deadline - this.#parts.clock.monotonic();
  }

  /** The answer is the truth, so it goes out at the deadline even when the ledger has not recorded it yet. */
  async #record(claim: Claim, answer: Answer): Promise<void> {
    const recorded: Result<LedgerOutput, Fault> = await this.#parts.ledger
      .finish(claim, answer);
    if (recorded.err) {
      this.#parts.log.error("ledger.finish_failed", {
        key: claim.key,
        kind: recorded.val.kind,
        reason: recorded.val.message,
      });
    }
  }

  /** An attempt that ended after the caller had its answer is still recorded. */
  async #settleLate(journey: Journey, end: AttemptEnd): Promise<void> {
    this.#parts.dispatcher.complete(journey.request.id, end.completion);
    if (journey.claim === undefined) {
      return;
    }
    if (end.result.ok) {
      await this.#record(
        journey.claim,
        storedAnswer(end.result.val, this.#parts.settings.ledger),
      );
    } else if (end.result.val.sent) {
      await this.#parts.ledger.lose(journey.claim);
    } else {
      await this.#giveBack(journey.claim);
    }
  }

  #timedOut(journey: Journey, turn: Turn): HttpReply {
    const cause = turn.kind === "timeout"
      ? turn.fault
      : fault("timeout", "No answer in time");
    const outcome: Outcome = journey.claim === undefined
      ? "unknown"
      : "running";
    return problemReply({ ...cause, outcome, retryAfterMs: RUNNING_RETRY_MS });
  }

  /** Refuses a request that did not run; an attempt that the ledger granted is given back first. */
  async #refuse(journey: Journey, cause: Fault): Promise<HttpReply> {
    const { claim, begun } = journey;
    if (claim !== undefined && begun) {
      await within(GIVE_BACK_TIMEOUT_MS, this.#giveBack(claim));
    }
    return await refusedReply(this.#parts, cause, claim?.key);
  }
}

function refusalOf(turn: Exclude<Turn, { kind: "send" }>): Fault {
  return turn.kind === "fail"
    ? fault("no_target", "No target took the request")
    : turn.fault;
}

function heldReply(output: LedgerOutput): HttpReply {
  if (output.kind === "done") {
    return replayReply(output.answer);
  }
  if (output.kind === "running") {
    return problemReply(
      fault("running", "A request with this key is still running", {
        outcome: "running",
        retryAfterMs: RUNNING_RETRY_MS,
      }),
    );
  }
  return problemReply(
    fault(
      "unknown_outcome",
      "A request with this key may have run; it is not run again",
      {
        outcome: "unknown",
        remedy: "The operator settles it with: quetzalcove settle",
      },
    ),
  );
}

function noLease(): Fault {
  return fault("no_lease", "This entry takes no new work", {
    outcome: "not run",
    retryAfterMs: NO_LEASE_RETRY_MS,
  });
}

function unknownService(name: string): Fault {
  return fault("unknown_service", `Service "${name}" does not exist`, {
    outcome: "not run",
    remedy: "Use the path /SERVICE/... with the name of a service of the rules",
  });
}
