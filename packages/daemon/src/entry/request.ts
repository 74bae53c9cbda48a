/**
 * A caller's request and the options in its headers.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import {
  DurationMs,
  Err,
  type Fault,
  fault,
  Ok,
  Priority,
  type Result,
  type Service,
} from "@quetzalcove/core";

/** A request with its complete body. `path` is the path that the target receives. */
export interface IncomingRequest {
  id: string;
  method: string;
  service: string;
  path: string;
  headers: IncomingHttpHeaders;
  body: Buffer;
  /** Aborts when the caller disconnects. */
  callerDisconnected: AbortSignal;
}

/** Options of a request, from its headers and its service's rule. */
export interface RequestOptions {
  service: Service;
  priority: Priority;
  /** Time from arrival within which the caller needs the answer, in milliseconds. */
  deadlineMs: number;
  repeatable: boolean;
  /** Ledger key; undefined if the request is repeatable or has no idempotency key. */
  key: string | undefined;
}

export const CALLER_HEADER = "x-quetzalcove-caller";
export const PRIORITY_HEADER = "x-quetzalcove-priority";
export const DEADLINE_HEADER = "x-quetzalcove-deadline-ms";
const KEY_HEADER = "idempotency-key";
const MAX_KEY_LENGTH = 256;

/** Parses priority, deadline and idempotency key; a fault names the invalid header. */
export function parseRequestOptions(
  request: IncomingRequest,
  service: Service,
): Result<RequestOptions, Fault> {
  const priority = Priority.safeParse(
    request.headers[PRIORITY_HEADER] ?? service.priority,
  );
  if (!priority.success) {
    return Err(
      invalidHeaderFault(PRIORITY_HEADER, "urgent, live or overnight"),
    );
  }
  const requestedMs = Number(
    request.headers[DEADLINE_HEADER] ?? service.deadlineMs,
  );
  if (!DurationMs.safeParse(requestedMs).success || requestedMs === 0) {
    return Err(
      invalidHeaderFault(
        DEADLINE_HEADER,
        "a whole number of milliseconds above 0",
      ),
    );
  }
  if (!isAbsentOrValidKey(request.headers[KEY_HEADER])) {
    return Err(
      invalidHeaderFault(
        KEY_HEADER,
        `one value of 1 to ${MAX_KEY_LENGTH} characters`,
      ),
    );
  }
  return Ok({
    service,
    priority: priority.data,
    deadlineMs: Math.min(requestedMs, service.deadlineMs),
    repeatable: isRepeatable(request, service),
    key: ledgerKeyOf(request, service),
  });
}

/** Method and headers of a request, which determine its ledger key. */
export type RequestHead = Pick<IncomingRequest, "headers" | "method">;

/** Returns the ledger key of a request; undefined if it is repeatable or has no valid idempotency key. */
export function ledgerKeyOf(
  request: RequestHead,
  service: Service | undefined,
): string | undefined {
  const key = request.headers[KEY_HEADER];
  const hasKey = typeof key === "string" && isAbsentOrValidKey(key);
  return hasKey && !isRepeatable(request, service)
    ? formatLedgerKey(callerOf(request), key)
    : undefined;
}

function isAbsentOrValidKey(key: string | string[] | undefined): boolean {
  return key === undefined ||
    (typeof key === "string" && key !== "" && key.length <= MAX_KEY_LENGTH);
}

function isRepeatable(
  request: RequestHead,
  service: Service | undefined,
): boolean {
  const methods: readonly string[] = service?.repeatable ?? [];
  return methods.includes(request.method);
}

/** Formats a ledger key. Both parts are encoded, so that different pairs never give the same key. */
export function formatLedgerKey(caller: string, key: string): string {
  return `${encodeURIComponent(caller)}/${encodeURIComponent(key)}`;
}

/** Returns a digest of method, service, path and body; requests with equal digests count as the same. */
export function digestOf(request: IncomingRequest): string {
  return createHash("sha256")
    .update(`${request.method}\n${request.service}\n${request.path}\n`)
    .update(request.body)
    .digest("hex");
}

function callerOf(request: RequestHead): string {
  const caller = request.headers[CALLER_HEADER];
  return typeof caller === "string" && caller !== "" ? caller : "anonymous";
}

function invalidHeaderFault(name: string, expected: string): Fault {
  return fault("invalid", `Header "${name}" must be ${expected}`, {
    path: name,
    outcome: "not run",
  });
}
