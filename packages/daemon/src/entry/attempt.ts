/**
 * One request at one target: the lease check, the call and what its end means.
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
import type { Failure, Forwarder, WholeAnswer } from "./forwarder.ts";
import { singleHeaders } from "./headers.ts";
import type { InFlight } from "./in_flight.ts";
import type { MembershipTask } from "./membership_task.ts";
import type { IncomingRequest, Treatment } from "./request.ts";

/** What an attempt needs. */
export interface AttemptParts {
  membership: MembershipTask;
  forwarder: Forwarder;
  tracing: Tracing;
  inFlight: InFlight;
}

/** The end of an attempt: what to tell the router, and the answer or the failure. */
export interface AttemptEnd {
  completion: Completion;
  result: Result<WholeAnswer, Failure>;
}

/** Sends a request to a target and reads the answer. */
export function runAttempt(
  parts: AttemptParts,
  job: { request: IncomingRequest; treatment: Treatment; target: string },
  parent: Context,
): Promise<AttemptEnd> {
  return parts.tracing.within("target", parent, async (context, span) => {
    const target = parts.membership.targets().find((known) =>
      known.target === job.target
    );
    if (target === undefined) {
      return gone(job.target);
    }
    span.setAttributes({
      "quetzalcove.target": target.target,
      "quetzalcove.vm": target.vm,
    });
    const leave = parts.inFlight.enter(target.vm);
    const end = endOf(await send(parts, { ...job, target }, context));
    leave();
    note(span, end);
    return end;
  });
}

function gone(target: string): AttemptEnd {
  const cause = fault("no_target", `Target "${target}" is gone`, {
    outcome: "not run",
  });
  return { completion: "reroute", result: Err({ sent: false, fault: cause }) };
}

async function send(
  { membership, forwarder }: AttemptParts,
  { request, treatment, target }: {
    request: IncomingRequest;
    treatment: Treatment;
    target: Announcement;
  },
  context: Context,
): Promise<Result<WholeAnswer, Failure>> {
  const headers = singleHeaders(request.headers);
  injectContext(context, headers);
  headers["x-quetzalcove-request"] = request.id;
  const abort = new AbortController();
  const timer = setTimeout(
    () => abort.abort(),
    longestAttemptMs(treatment.service),
  );
  const result = await forwarder.send(target, {
    method: request.method,
    path: request.path,
    headers,
    body: request.body,
    maxAnswerBytes: treatment.service.maxAnswerBytes,
    signal: abort.signal,
    mayStart: () => mayStart(membership, target, treatment),
  });
  clearTimeout(timer);
  return result;
}

/** Checked right before the first byte leaves, since a process may have been frozen since the decision. */
function mayStart(
  membership: MembershipTask,
  target: Announcement,
  treatment: Treatment,
): Result<void, Fault> {
  if (!membership.hasLease()) {
    return Err(
      fault("no_lease", "The lease of this entry ran out", {
        outcome: "not run",
      }),
    );
  }
  if (!membership.view.admits(target.vm, treatment.service)) {
    return Err(
      fault("no_target", `VM "${target.vm}" takes no new work`, {
        outcome: "not run",
      }),
    );
  }
  return Ok.EMPTY;
}

function endOf(result: Result<WholeAnswer, Failure>): AttemptEnd {
  if (result.ok) {
    return endOfAnswer(result.val);
  }
  if (result.val.sent) {
    return { completion: "failed", result };
  }
  const { kind } = result.val.fault;
  const own = kind === "no_lease" || kind === "no_target";
  return { completion: own ? "reroute" : "unreachable", result };
}

/** A target that refuses says so with the outcome header; the request did not run there. */
function endOfAnswer(answer: WholeAnswer): AttemptEnd {
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

function note(span: Span, end: AttemptEnd): void {
  span.setAttribute("quetzalcove.completion", end.completion);
  if (end.result.ok) {
    span.setAttribute("http.response.status_code", end.result.val.status);
  }
}
