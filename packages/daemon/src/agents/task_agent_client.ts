/**
 * Client for the tasks that platform agents run on VMs: sends the operations of placement and passes on the reports.
 *
 * @module
 */
import {
  type Address,
  type AgentOperation,
  AgentReport,
} from "@quetzalcove/core";
import { Agent, request } from "undici";
import { errorMessage, type Log } from "../observe/log.ts";

/** Timeout of a call that the agent answers at once. */
const CALL_TIMEOUT_MS = 2_000;
/** Longest report that is read: some thousand tasks. */
const MAX_ANSWER_BYTES = 1_048_576;
/** Maximum number of concurrent calls to one agent. */
const MAX_CONNECTIONS = 4;

/** Called with a report, and with whether an urgent job waits for it. */
export type ReportHandler = (report: AgentReport, urgent: boolean) => void;

export class TaskAgentClient {
  readonly #log: Log;
  readonly #dispatcher = new Agent({
    connect: { timeout: CALL_TIMEOUT_MS },
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    maxResponseSize: MAX_ANSWER_BYTES,
  });
  /** Renewals without an answer yet, so that calls to a VM that does not answer do not pile up. */
  readonly #pendingRenewals = new Set<string>();

  constructor(log: Log) {
    this.#log = log;
  }

  /** Closes all connections. */
  stop(): Promise<void> {
    return this.#dispatcher.destroy();
  }

  /** Sends an operation once. Without an answer, a later placement pass sends it again where that is safe. */
  send(
    address: Address,
    operation: AgentOperation,
    onReport: ReportHandler,
  ): void {
    const renewalKey = renewalKeyOf(operation);
    if (renewalKey !== undefined && this.#pendingRenewals.has(renewalKey)) {
      return;
    }
    if (renewalKey !== undefined) {
      this.#pendingRenewals.add(renewalKey);
    }
    void this.#call(address, operation, onReport).finally(() => {
      if (renewalKey !== undefined) {
        this.#pendingRenewals.delete(renewalKey);
      }
    });
  }

  async #call(
    address: Address,
    operation: AgentOperation,
    onReport: ReportHandler,
  ): Promise<void> {
    const signal = AbortSignal.timeout(timeoutMsOf(operation));
    try {
      const answer = await request(`http://${address}/v1/tasks`, {
        method: "POST",
        body: JSON.stringify(operation),
        headers: { "content-type": "application/json" },
        signal,
        dispatcher: this.#dispatcher,
      });
      const report = AgentReport.parse(await answer.body.json());
      if (report.vm === operation.vm) {
        onReport(report, operation.urgent);
      }
    } catch (error) {
      this.#log.warn("task_agent.unreachable", {
        vm: operation.vm,
        operation: operation.id,
        reason: errorMessage(error),
      });
    }
  }
}

/** Key of a renewal: a VM has at most one pending that it answers at once, and one whose answer it delays. */
function renewalKeyOf(operation: AgentOperation): string | undefined {
  return operation.kind === "renew"
    ? `${operation.vm}:${operation.waitMs > 0}`
    : undefined;
}

/** An agent delays its answer to some renewals, and answers a checkpoint that stops the run after the run has ended. */
function timeoutMsOf(operation: AgentOperation): number {
  switch (operation.kind) {
    case "renew":
      return CALL_TIMEOUT_MS + operation.waitMs;
    case "checkpoint":
      return CALL_TIMEOUT_MS + (operation.stop ? operation.graceMs : 0);
    default:
      return CALL_TIMEOUT_MS;
  }
}
