/**
 * One attempt of a request at a target: the lease check, the call and the interpretation of its result.
 *
 * @module
 */
import type { Context, Span } from "@opentelemetry/api";
import {
  type Announcement,
  type Completion,
  Err,
  type Fault,
  fault,
  longestAttemptMs,
  Ok,
  type Result,
} from "@quetzalcove/core";
import { injectContext, type Tracing } from "../observe/tracing.ts";
import { OUTCOME_HEADER } from "../problem.ts";
import type { AttemptFailure, BufferedAnswer, Forwarder } from "./forwarder.ts";
import { singleValueHeaders } from "./headers.ts";
import type { InFlightRequests } from "./in_flight_requests.ts";
import type { LeaseController } from "./lease_controller.ts";
import type { IncomingRequest, RequestOptions } from "./request.ts";

/** Dependencies of an attempt. */
export interface AttemptParts {
  leaseController: LeaseController;
  forwarder: Forwarder;
  tracing: Tracing;
  inFlight: InFlightRequests;
}

/** The end of an attempt: the completion to report to the router, and the answer or the failure. */
export interface AttemptEnd {
  completion: Completion;
  result: Result<BufferedAnswer, AttemptFailure>;
}

/** Sends a request to a target and reads the answer. */
export function runAttempt(
  parts: AttemptParts,
  attempt: {
    request: IncomingRequest;
    options: RequestOptions;
    target: string;
  },
  parent: Context,
): Promise<AttemptEnd> {
  return parts.tracing.withSpan("target", parent, async (context, span) => {
    const target = parts.leaseController.targets().find((known) =>
      known.target === attempt.target
    );
    if (target === undefined) {
      return endWithoutTarget(attempt.target);
    }
    span.setAttributes({
      "quetzalcove.target": target.target,
      "quetzalcove.vm": target.vm,
    });
    const finish = parts.inFlight.start(target.vm);
    const end = endOf(await send(parts, { ...attempt, target }, context));
    finish();
    setEndAttributes(span, end);
    return end;
  });
}

function endWithoutTarget(target: string): AttemptEnd {
  const cause = fault("no_target", `Target "${target}" is gone`, {
    outcome: "not run",
  });
  return { completion: "reroute", result: Err({ sent: false, fault: cause }) };
}

async function send(
  { leaseController, forwarder }: AttemptParts,
  { request, options, target }: {
    request: IncomingRequest;
    options: RequestOptions;
    target: Announcement;
  },
  context: Context,
): Promise<Result<BufferedAnswer, AttemptFailure>> {
  const headers = singleValueHeaders(request.headers);
  injectContext(context, headers);
  headers["x-quetzalcove-request"] = request.id;
  const abort = new AbortController();
  const timer = setTimeout(
    () => abort.abort(),
    longestAttemptMs(options.service),
  );
  const result = await forwarder.send(target, {
    method: request.method,
    path: request.path,
    headers,
    body: request.body,
    maxAnswerBytes: options.service.maxAnswerBytes,
    signal: abort.signal,
    mayStart: () => mayStart(leaseController, target, options),
  });
  clearTimeout(timer);
  return result;
}

/** Checked right before the first byte is sent, since the process may have been suspended since the decision. */
function mayStart(
  leaseController: LeaseController,
  target: Announcement,
  options: RequestOptions,
): Result<void, Fault> {
  if (!leaseController.hasLease()) {
    return Err(
      fault("no_lease", "The lease of this entry ran out", {
        outcome: "not run",
      }),
    );
  }
  if (!leaseController.view.admits(target.vm, options.service)) {
    return Err(
      fault("no_target", `VM "${target.vm}" takes no new work`, {
        outcome: "not run",
      }),
    );
  }
  return Ok.EMPTY;
}

function endOf(result: Result<BufferedAnswer, AttemptFailure>): AttemptEnd {
  if (result.ok) {
    return endOfAnswer(result.val);
  }
  if (result.val.sent) {
    return { completion: "failed", result };
  }
  const { kind } = result.val.fault;
  const isLocal = kind === "no_lease" || kind === "no_target";
  return { completion: isLocal ? "reroute" : "unreachable", result };
}

/** A target refuses a request with status 503 and the outcome header `not run`. */
function endOfAnswer(answer: BufferedAnswer): AttemptEnd {
  if (answer.status === 503 && answer.headers[OUTCOME_HEADER] === "not run") {
    const cause = fault("overloaded", "The target refused the request", {
      outcome: "not run",
    });
    return {
      completion: "refused",
      result: Err({ sent: false, fault: cause }),
    };
  }
  return {
    completion: answer.status >= 500 ? "failed" : "ok",
    result: Ok(answer),
  };
}

function setEndAttributes(span: Span, end: AttemptEnd): void {
  span.setAttribute("quetzalcove.completion", end.completion);
  if (end.result.ok) {
    span.setAttribute("http.response.status_code", end.result.val.status);
  }
}
