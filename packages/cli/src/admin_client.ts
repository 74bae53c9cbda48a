/**
 * A client of the administration API that fails over between several addresses.
 *
 * @module
 */
import { fault, Ok, parse, Problem, type Result } from "@quetzalcove/core";
import { Agent, request } from "undici";
import type { z } from "zod";
import {
  fail,
  type Failure,
  isAddressSpecific,
  mayHaveRun,
  withReason,
} from "./failure.ts";

/** A call of the administration API. */
export interface Call<T extends z.ZodType> {
  method: "GET" | "POST";
  path: string;
  body?: unknown;
  /** Schema of the answer. */
  answer: T;
  /** Whether the call may be retried after its answer was lost. GET calls always may. */
  idempotent?: boolean;
  /** Remedy to show when it is unknown whether the call was executed. */
  whenUncertain?: string;
}

/** Time limit for opening a connection. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Time limit for a call once its connection is open. */
const CALL_TIMEOUT_MS = 5_000;

/** Larger answers are rejected. */
const MAX_ANSWER_BYTES = 67_108_864;

/** Outcome of a call to one address. */
type CallOutcome =
  | { kind: "answered"; status: number; text: string }
  | { kind: "not sent"; reason: string }
  | { kind: "lost"; reason: string };

export class AdminClient {
  readonly addresses: readonly string[];
  readonly #agent: Agent;

  constructor(addresses: readonly string[]) {
    this.addresses = addresses;
    this.#agent = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      maxResponseSize: MAX_ANSWER_BYTES,
      // A kept-alive connection may be dead without notice, so each call opens its own.
      pipelining: 0,
    });
  }

  /**
   * Calls the addresses in order until one answers. The next one is tried if the connection was never established,
   * if the answer says that the call was not executed, or if the call is idempotent.
   */
  async call<T extends z.ZodType>(
    call: Call<T>,
  ): Promise<Result<z.output<T>, Failure>> {
    const repeatable = call.method === "GET" || call.idempotent === true;
    const reasons: string[] = [];
    let refusal: Result<z.output<T>, Failure> | undefined;
    let lost = false;
    for (const address of this.addresses) {
      const attempt = await this.#callAddress(address, call);
      if (attempt.kind === "answered") {
        const result = readAnswer(address, attempt, call);
        if (!mayTryNextAddress(result, repeatable)) {
          return result;
        }
        // A refusal by a later address does not undo a change that an earlier one may have made.
        refusal = isUncertain(refusal) ? refusal : result;
        continue;
      }
      reasons.push(`${address}: ${attempt.reason}`);
      lost ||= attempt.kind === "lost" && call.method !== "GET";
      if (lost && !repeatable) {
        break;
      }
    }
    if (lost) {
      return uncertain(reasons, call.whenUncertain);
    }
    return refusal ?? unreachable(reasons);
  }

  async #callAddress<T extends z.ZodType>(
    address: string,
    call: Call<T>,
  ): Promise<CallOutcome> {
    try {
      const answer = await request(`http://${address}${call.path}`, {
        method: call.method,
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(CONNECT_TIMEOUT_MS + CALL_TIMEOUT_MS),
        headers: { "content-type": "application/json" },
        body: call.body === undefined ? null : JSON.stringify(call.body),
      });
      const text = await answer.body.text();
      return { kind: "answered", status: answer.statusCode, text };
    } catch (error) {
      return classifyError(error as NodeJS.ErrnoException);
    }
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

function classifyError(error: NodeJS.ErrnoException): CallOutcome {
  const code = error.code ?? error.name;
  const reason = ERROR_REASONS[code] ?? String(code);
  const notSent = error.syscall === "connect" ||
    code === "UND_ERR_CONNECT_TIMEOUT";
  return { kind: notSent ? "not sent" : "lost", reason };
}

const ERROR_REASONS: Record<string, string> = {
  ECONNREFUSED: "connection refused",
  ECONNRESET: "connection reset",
  EHOSTUNREACH: "no route to host",
  ENETUNREACH: "no route to network",
  ETIMEDOUT: "timed out",
  TimeoutError: "no answer in time",
  "23": "no answer in time",
  UND_ERR_CONNECT_TIMEOUT: "no connection in time",
  UND_ERR_SOCKET: "connection closed before the answer was complete",
  UND_ERR_RES_EXCEEDED_MAX_SIZE: "the answer is too large",
};

function uncertain(
  reasons: readonly string[],
  remedy: string | undefined,
): Result<never, Failure> {
  return fail(
    "uncertain",
    fault("unknown_outcome", `The answer was lost (${reasons.join("; ")})`, {
      outcome: "unknown",
      remedy,
    }),
  );
}

function unreachable(reasons: readonly string[]): Result<never, Failure> {
  return fail(
    "unreachable",
    fault("unreachable", `No daemon answered (${reasons.join("; ")})`, {
      outcome: "not run",
      remedy: "Check --admin, and that quetzalcoved runs at these addresses",
    }),
  );
}

function isUncertain<T>(result: Result<T, Failure> | undefined): boolean {
  return result?.err === true && result.val.reason === "uncertain";
}

function mayTryNextAddress<T>(
  result: Result<T, Failure>,
  repeatable: boolean,
): boolean {
  if (result.ok) {
    return false;
  }
  if (result.val.reason === "uncertain") {
    return repeatable;
  }
  const { kind, outcome } = result.val.fault;
  return isAddressSpecific(kind) && (repeatable || outcome === "not run");
}

const OK_STATUS = 200;
const FIRST_ERROR_STATUS = 300;

function readAnswer<T extends z.ZodType>(
  address: string,
  attempt: Extract<CallOutcome, { kind: "answered" }>,
  call: Call<T>,
): Result<z.output<T>, Failure> {
  const { status, text } = attempt;
  const value = parseJsonOrUndefined(text);
  // A change with an unreadable answer may have been made.
  const reason = call.method === "GET" ? "unreachable" : "uncertain";
  if (status >= OK_STATUS && status < FIRST_ERROR_STATUS) {
    return withReason(
      reason,
      parse(call.answer, value, `Answer of ${address}`),
    );
  }
  const problem = Problem.safeParse(value);
  if (problem.success) {
    const cause = problem.data.fault;
    const maybeChanged = call.method === "POST" && mayHaveRun(cause);
    return fail(maybeChanged ? "uncertain" : "refused", cause);
  }
  return fail(
    reason,
    fault("broken_answer", `${address} answered ${status} without a fault`, {
      remedy: "Check that this is the admin address of a quetzalcoved",
    }),
  );
}

function parseJsonOrUndefined(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Reads a comma-separated list of addresses. */
export function parseAddresses(
  text: string,
): Result<string[], Failure> {
  const addresses = text.split(",").map((part) => part.trim()).filter((part) =>
    part !== ""
  );
  const invalid = addresses.find((address) => !ADMIN_ADDRESS.test(address));
  if (invalid === undefined && addresses.length > 0) {
    return Ok([...new Set(addresses)]);
  }
  return fail(
    "usage",
    fault("invalid", `"${invalid ?? text}" is not an address`, {
      remedy: "Write host:port, for example 127.10.1.1:8081",
    }),
  );
}

const ADMIN_ADDRESS = /^([a-z0-9.-]+|\[[0-9a-f:]+\]):\d{1,5}$/i;
