/**
 * Faults as RFC 9457 problem details.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { type Fault, statusOf } from "@quetzalcove/core";

/** An HTTP response to be written to a caller. */
export interface HttpReply {
  status: number;
  headers: Record<string, string | string[]>;
  body: Buffer | string;
}

export const OUTCOME_HEADER = "x-quetzalcove-outcome";

/** Returns a fault as a problem document; outcome and retry delay are also sent as headers. */
export function problemReply(cause: Fault, instance?: string): HttpReply {
  const status = statusOf(cause.kind);
  const document = {
    type: `urn:quetzalcove:fault:${cause.kind}`,
    title: cause.kind.replaceAll("_", " "),
    status,
    detail: cause.message,
    instance,
    outcome: cause.outcome,
    fault: cause,
  };
  const body = Buffer.from(JSON.stringify(document));
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
    "content-length": String(body.length),
  };
  if (cause.outcome !== undefined) {
    headers[OUTCOME_HEADER] = cause.outcome;
  }
  if (cause.retryAfterMs !== undefined) {
    headers["retry-after"] = String(Math.ceil(cause.retryAfterMs / 1_000));
  }
  return { status, headers, body };
}

/** Returns a value as JSON. */
export function jsonReply(value: unknown, status = 200): HttpReply {
  const body = Buffer.from(`${JSON.stringify(value)}\n`);
  return {
    status,
    headers: {
      "content-type": "application/json",
      "content-length": String(body.length),
    },
    body,
  };
}
