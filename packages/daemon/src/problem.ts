/**
 * Faults as RFC 9457 problem details.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { type Fault, statusOf } from "@quetzalcove/core";

/** An answer ready to be written to a caller. */
export interface HttpReply {
  status: number;
  headers: Record<string, string | string[]>;
  body: Buffer;
}

export const OUTCOME_HEADER = "x-quetzalcove-outcome";

/** Writes a fault as a problem document; the outcome and the time to come back also stand in headers. */
export function problemReply(found: Fault, instance?: string): HttpReply {
  const status = statusOf(found.kind);
  const document = {
    type: `urn:quetzalcove:fault:${found.kind}`,
    title: found.kind.replaceAll("_", " "),
    status,
    detail: found.message,
    instance,
    outcome: found.outcome,
    fault: found,
  };
  const body = Buffer.from(JSON.stringify(document));
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
    "content-length": String(body.length),
  };
  if (found.outcome !== undefined) {
    headers[OUTCOME_HEADER] = found.outcome;
  }
  if (found.retryAfterMs !== undefined) {
    headers["retry-after"] = String(Math.ceil(found.retryAfterMs / 1_000));
  }
  return { status, headers, body };
}

/** Writes a value as JSON. */
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
