/**
 * Client of the ledger at the leader.
 *
 * @module
 */
import type { Context } from "@opentelemetry/api";
import {
  type Answer,
  Err,
  type Fault,
  fault,
  type LedgerCommand,
  LedgerOutput,
  Ok,
  parse,
  type Result,
} from "@quetzalcove/core";
import { z } from "zod";
import { injectContext } from "../observe/tracing.ts";
import type { LeaderClient } from "./leader_client.ts";

/** An attempt that this entry requests in the ledger. */
export interface Claim {
  key: string;
  digest: string;
  attempt: string;
  entry: string;
  incarnation: number;
  service: string;
}

/** State of a key in the ledger. */
export const LedgerKeyState = z.object({
  phase: z.enum(["none", "running", "done", "unknown"]),
  attempt: z.string().optional(),
});

/** Maximum time for which an entry retries to release an attempt. */
const RELEASE_TIMEOUT_MS = 300_000;

/** Maximum time for which an entry retries to record the end of an attempt. */
const RECORD_TIMEOUT_MS = 300_000;

/** Options of `begin`. */
export interface BeginOptions {
  timeoutMs: number;
  /** Trace context that the leader's span continues. */
  context: Context;
}

export class LedgerClient {
  readonly #leader: LeaderClient;

  constructor(leader: LeaderClient) {
    this.#leader = leader;
  }

  /** Requests the attempt. Retries after a lost answer use the same attempt id. */
  begin(
    claim: Claim,
    { timeoutMs, context }: BeginOptions,
  ): Promise<Result<LedgerOutput, Fault>> {
    const trace: Record<string, string> = {};
    injectContext(context, trace);
    return this.#propose(
      { kind: "ledger.begin", ...claim, at: 0 },
      timeoutMs,
      trace,
    );
  }

  /** Records the answer of an attempt. */
  finish(claim: Claim, answer: Answer): Promise<Result<LedgerOutput, Fault>> {
    const { key, attempt } = claim;
    return this.#propose(
      { kind: "ledger.finish", key, attempt, answer, at: 0 },
      RECORD_TIMEOUT_MS,
    );
  }

  /** Releases an attempt that is certain not to have run. */
  release(claim: Claim): Promise<Result<LedgerOutput, Fault>> {
    const { key, attempt } = claim;
    return this.#propose(
      { kind: "ledger.release", key, attempt, at: 0 },
      RELEASE_TIMEOUT_MS,
    );
  }

  /** Marks the outcome of an attempt as unknown. */
  markUnknown(claim: Claim): Promise<Result<LedgerOutput, Fault>> {
    const { key, attempt } = claim;
    return this.#propose(
      { kind: "ledger.lose", key, attempt, at: 0 },
      RECORD_TIMEOUT_MS,
    );
  }

  /** Returns the state of a key in the ledger. */
  async read(
    key: string,
    timeoutMs: number,
  ): Promise<Result<z.infer<typeof LedgerKeyState>, Fault>> {
    const answer = await this.#leader.call(
      "read",
      { what: "holding", key },
      timeoutMs,
    );
    return answer.andThen((value) => parse(LedgerKeyState, value, "holding"));
  }

  async #propose(
    command: LedgerCommand,
    timeoutMs: number,
    trace?: Record<string, string>,
  ): Promise<Result<LedgerOutput, Fault>> {
    const params = trace === undefined ? command : { ...command, trace };
    const answer = await this.#leader.call("propose", params, timeoutMs);
    if (answer.err) {
      return answer;
    }
    const output = LedgerOutput.safeParse(answer.val);
    return output.success
      ? Ok(output.data)
      : Err(fault("internal", "The ledger gave an answer of another shape"));
  }
}
