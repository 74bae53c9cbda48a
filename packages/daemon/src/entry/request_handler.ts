/**
 * Handles a request at an entry: admission, ledger, attempts at targets, reply.
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
import { withTimeout } from "../timeout.ts";
import type { Log } from "../observe/log.ts";
import { traceIdOf } from "../observe/tracing.ts";
import { type HttpReply, problemReply } from "../problem.ts";
import { answerReply, replayReply, storedAnswer } from "./answer.ts";
import { type AttemptEnd, type AttemptParts, runAttempt } from "./attempt.ts";
import type { DispatchDecision, Dispatcher } from "./dispatcher.ts";
import type { Claim, LedgerClient } from "./ledger_client.ts";
import { refusalReply } from "./refusal.ts";
import {
  digestOf,
  type IncomingRequest,
  ledgerKeyOf,
  parseRequestOptions,
  type RequestHead,
  type RequestOptions,
} from "./request.ts";
import type { Usage } from "./usage.ts";

/** Dependencies of the request handler. */
export interface RequestHandlerParts extends AttemptParts {
  settings: Settings;
  dispatcher: Dispatcher;
  ledger: LedgerClient;
  usage: Usage;
  clock: Clock;
  log: Log;
}

/** An admitted request that has no reply yet. */
interface RequestState {
  request: IncomingRequest;
  options: RequestOptions;
  claim: Claim | undefined;
  /** Whether the ledger granted the claim. */
  claimed: boolean;
  /** Whether any attempt was sent, also if a later one is refused. */
  mayHaveRun: boolean;
  /** Monotonic time by which the caller needs the answer. */
  deadline: number;
  context: Context;
}

/** Retry-After of a request whose earlier attempt is still running or unconfirmed. */
const RUNNING_RETRY_AFTER_MS = 1_000;
const NO_LEASE_RETRY_AFTER_MS = 1_000;

/** Maximum wait for the ledger before a request is refused. */
const LEDGER_TIMEOUT_MS = 2_000;

/** Maximum time for which a refusal waits until the ledger has released the attempt. */
const REFUSAL_RELEASE_TIMEOUT_MS = 500;

export class RequestHandler {
  readonly #parts: RequestHandlerParts;

  constructor(parts: RequestHandlerParts) {
    this.#parts = parts;
  }

  /** Handles a request. Every request gets exactly one reply. */
  async serve(request: IncomingRequest, context: Context): Promise<HttpReply> {
    const { leaseController } = this.#parts;
    if (!leaseController.mayServe()) {
      return await this.refuse(request, noLeaseFault());
    }
    const service = leaseController.view.service(request.service);
    if (service === undefined) {
      return await this.refuse(request, unknownServiceFault(request.service));
    }
    const options = parseRequestOptions(request, service);
    if (options.err) {
      return await this.refuse(request, options.val);
    }
    return await this.#submit(request, options.val, context);
  }

  /** Refuses a request before it is admitted. */
  refuse(
    request: RequestHead & { service: string },
    cause: Fault,
  ): Promise<HttpReply> {
    const service = this.#parts.leaseController.view.service(request.service);
    return refusalReply(this.#parts, cause, ledgerKeyOf(request, service));
  }

  async #submit(
    request: IncomingRequest,
    options: RequestOptions,
    context: Context,
  ): Promise<HttpReply> {
    const { dispatcher, tracing, clock, usage } = this.#parts;
    const deadline = clock.monotonic() + options.deadlineMs;
    const state: RequestState = {
      request,
      options,
      claim: this.#createClaim(request, options),
      claimed: false,
      mayHaveRun: false,
      deadline,
      context,
    };
    usage.requestStarted(options.service.name);
    const decision = await tracing.withSpan("queue", context, () => {
      this.#cancelOnDisconnect(state);
      return dispatcher.submit({
        id: request.id,
        service: options.service.name,
        priority: options.priority,
        deadline,
        repeatable: options.repeatable,
      });
    });
    const reply = await this.#handleFirstDecision(state, decision);
    dispatcher.stopWaiting(request.id);
    usage.requestEnded(options.service.name, reply.status);
    return reply;
  }

  /** Cancels a request that is still queued when its caller disconnects; it did not run. */
  #cancelOnDisconnect({ request }: RequestState): void {
    const { dispatcher } = this.#parts;
    request.callerDisconnected.addEventListener(
      "abort",
      () => dispatcher.cancel(request.id),
      {
        once: true,
      },
    );
  }

  #createClaim(
    request: IncomingRequest,
    options: RequestOptions,
  ): Claim | undefined {
    if (options.key === undefined) {
      return undefined;
    }
    return {
      key: options.key,
      digest: digestOf(request),
      attempt: randomUUID(),
      entry: this.#parts.settings.entry,
      incarnation: this.#parts.leaseController.incarnation,
      service: options.service.name,
    };
  }

  async #handleFirstDecision(
    state: RequestState,
    decision: DispatchDecision,
  ): Promise<HttpReply> {
    if (decision.kind !== "send") {
      return await this.#refuse(state, refusalFault(decision));
    }
    if (state.claim === undefined) {
      return await this.#attempt(state, decision.target);
    }
    return await this.#claimAndAttempt(state, state.claim, decision.target);
  }

  /** Claims the attempt in the ledger before the request is sent. */
  async #claimAndAttempt(
    state: RequestState,
    claim: Claim,
    target: string,
  ): Promise<HttpReply> {
    const { tracing, ledger, dispatcher, clock } = this.#parts;
    const timeoutMs = Math.min(
      LEDGER_TIMEOUT_MS,
      state.deadline - clock.monotonic(),
    );
    const claimResult = await tracing.withSpan(
      "ledger",
      state.context,
      (context) => ledger.begin(claim, { timeoutMs, context }),
    );
    if (claimResult.ok && claimResult.val.kind === "granted") {
      state.claimed = true;
      return await this.#attemptBeforeDeadline(state, target);
    }
    dispatcher.complete(state.request.id, "unsent");
    return claimResult.ok
      ? duplicateReply(claimResult.val)
      : this.#claimFailedReply(claim, claimResult.val);
  }

  /** Checks the deadline again, since the process may have been suspended during the ledger call. */
  async #attemptBeforeDeadline(
    state: RequestState,
    target: string,
  ): Promise<HttpReply> {
    const { clock, dispatcher } = this.#parts;
    if (clock.monotonic() < state.deadline) {
      return await this.#attempt(state, target);
    }
    dispatcher.complete(state.request.id, "unsent");
    return await this.#refuse(
      state,
      fault("expired", "The deadline passed before the request was sent"),
    );
  }

  /** The grant may have been committed although its answer was lost, so the attempt is released in the background. */
  #claimFailedReply(claim: Claim, cause: Fault): HttpReply {
    if (cause.kind === "key_reused") {
      return problemReply(cause);
    }
    void this.#release(claim);
    // An earlier request with the same key may have run; only this one certainly did not.
    return problemReply({
      ...cause,
      outcome: "unknown",
      retryAfterMs: RUNNING_RETRY_AFTER_MS,
    });
  }

  async #release(claim: Claim): Promise<void> {
    const released = await this.#parts.ledger.release(claim);
    if (released.err) {
      this.#parts.log.warn("ledger.release_failed", {
        key: claim.key,
        kind: released.val.kind,
        reason: released.val.message,
      });
    }
  }

  async #attempt(state: RequestState, target: string): Promise<HttpReply> {
    const { dispatcher } = this.#parts;
    const { request, options } = state;
    const next = dispatcher.nextDecision(request.id);
    const running = runAttempt(
      this.#parts,
      { request, options, target },
      state.context,
    );
    const first = await Promise.race([running, next]);
    if ("kind" in first) {
      void running.then((end) => this.#recordLateEnd(state, end));
      return this.#timeoutReply(state, first);
    }
    return await this.#finishAttempt(state, first, next);
  }

  async #finishAttempt(
    state: RequestState,
    end: AttemptEnd,
    next: Promise<DispatchDecision>,
  ): Promise<HttpReply> {
    const { dispatcher } = this.#parts;
    const { id } = state.request;
    state.mayHaveRun ||= end.result.ok || end.result.val.sent;
    if (end.completion === "ok") {
      dispatcher.complete(id, "ok");
      return await this.#finalReply(state, end);
    }
    const decision = dispatcher.complete(id, end.completion)
      ? await next
      : undefined;
    if (decision?.kind === "send") {
      return await this.#attempt(state, decision.target);
    }
    return await this.#finalReply(state, end);
  }

  /** Returns the reply for the last attempt and records its end in the ledger. */
  async #finalReply(state: RequestState, end: AttemptEnd): Promise<HttpReply> {
    const { claim, options } = state;
    if (end.result.ok) {
      const answer = end.result.val;
      if (claim !== undefined) {
        const stored = storedAnswer(answer, this.#parts.settings.ledger);
        await withTimeout(
          this.#remainingMs(state),
          this.#record(claim, stored),
        );
      }
      return answerReply(answer, traceIdOf(state.context));
    }
    const { fault: cause } = end.result.val;
    if (!state.mayHaveRun) {
      return await this.#refuse(state, cause);
    }
    if (claim !== undefined) {
      void this.#parts.ledger.markUnknown(claim);
    }
    const outcome: Outcome = "unknown";
    return problemReply({
      ...cause,
      outcome,
      ...(options.repeatable && { retryAfterMs: 0 }),
    });
  }

  #remainingMs({ deadline }: RequestState): number {
    return deadline - this.#parts.clock.monotonic();
  }

  /** Records an answer. The reply does not wait for it beyond the deadline, since the answer is correct either way. */
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

  /** Records the end of an attempt whose caller already has a reply. */
  async #recordLateEnd(state: RequestState, end: AttemptEnd): Promise<void> {
    this.#parts.dispatcher.complete(state.request.id, end.completion);
    if (state.claim === undefined) {
      return;
    }
    if (end.result.ok) {
      await this.#record(
        state.claim,
        storedAnswer(end.result.val, this.#parts.settings.ledger),
      );
    } else if (end.result.val.sent) {
      await this.#parts.ledger.markUnknown(state.claim);
    } else {
      await this.#release(state.claim);
    }
  }

  #timeoutReply(state: RequestState, decision: DispatchDecision): HttpReply {
    const cause = decision.kind === "timeout"
      ? decision.fault
      : fault("timeout", "No answer in time");
    const outcome: Outcome = state.claim === undefined ? "unknown" : "running";
    return problemReply({
      ...cause,
      outcome,
      retryAfterMs: RUNNING_RETRY_AFTER_MS,
    });
  }

  /** Refuses a request that did not run; an attempt that the ledger granted is released first. */
  async #refuse(state: RequestState, cause: Fault): Promise<HttpReply> {
    const { claim, claimed } = state;
    if (claim !== undefined && claimed) {
      await withTimeout(REFUSAL_RELEASE_TIMEOUT_MS, this.#release(claim));
    }
    return await refusalReply(this.#parts, cause, claim?.key);
  }
}

function refusalFault(
  decision: Exclude<DispatchDecision, { kind: "send" }>,
): Fault {
  return decision.kind === "fail"
    ? fault("no_target", "No target took the request")
    : decision.fault;
}

function duplicateReply(output: LedgerOutput): HttpReply {
  if (output.kind === "done") {
    return replayReply(output.answer);
  }
  if (output.kind === "running") {
    return problemReply(
      fault("running", "A request with this key is still running", {
        outcome: "running",
        retryAfterMs: RUNNING_RETRY_AFTER_MS,
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

function noLeaseFault(): Fault {
  return fault("no_lease", "This entry takes no new work", {
    outcome: "not run",
    retryAfterMs: NO_LEASE_RETRY_AFTER_MS,
  });
}

function unknownServiceFault(name: string): Fault {
  return fault("unknown_service", `Service "${name}" does not exist`, {
    outcome: "not run",
    remedy: "Use the path /SERVICE/... with the name of a service of the rules",
  });
}
