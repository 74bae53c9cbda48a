/**
 * The entry's side of the ledger.
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

/** An attempt that this entry asked for. */
export interface Claim {
  key: string;
  digest: string;
  attempt: string;
  entry: string;
  incarnation: number;
  service: string;
}

/** What the ledger holds for a key. */
export const Holding = z.object({
  phase: z.enum(["none", "running", "done", "unknown"]),
  attempt: z.string().optional(),
});

/** How long an entry keeps trying to give an attempt back, in milliseconds. */
const RELEASE_TIMEOUT_MS = 300_000;

/** How long an entry keeps trying to record how an attempt ended, in milliseconds. */
const RECORD_TIMEOUT_MS = 300_000;

/** How an attempt is asked for. */
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

  /** Asks for the attempt. A lost answer is asked for again under the same attempt id. */
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

  /** Gives back an attempt that surely did not run. */
  release(claim: Claim): Promise<Result<LedgerOutput, Fault>> {
    const { key, attempt } = claim;
    return this.#propose(
      { kind: "ledger.release", key, attempt, at: 0 },
      RELEASE_TIMEOUT_MS,
    );
  }

  /** Records that the outcome of an attempt is unknown. */
  markUnknown(claim: Claim): Promise<Result<LedgerOutput, Fault>> {
    const { key, attempt } = claim;
    return this.#propose(
      { kind: "ledger.lose", key, attempt, at: 0 },
      RECORD_TIMEOUT_MS,
    );
  }

  /** What the ledger holds for a key. */
  async read(
    key: string,
    timeoutMs: number,
  ): Promise<Result<z.infer<typeof Holding>, Fault>> {
    const answer = await this.#leader.call(
      "read",
      { what: "holding", key },
      timeoutMs,
    );
    return answer.andThen((value) => parse(Holding, value, "holding"));
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
