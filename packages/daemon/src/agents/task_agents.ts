/**
 * Sends the operations of placement to the platform agents of VMs and hands their reports back.
 *
 * @module
 */
import {
  type Address,
  type AgentOperation,
  AgentReport,
} from "@quetzalcove/core";
import { Agent, request } from "undici";
import { type Log, messageOf } from "../observe/log.ts";

/** Deadline of a call that the agent answers at once, in milliseconds. */
const CALL_MS = 2_000;
/** Calls to one agent at a time. */
const MAX_CONNECTIONS = 4;

/** Takes a report and tells whether an urgent job waits for it. */
export type TakeReport = (report: AgentReport, urgent: boolean) => void;

export class TaskAgents {
  readonly #log: Log;
  readonly #dispatcher = new Agent({
    connect: { timeout: CALL_MS },
    connections: MAX_CONNECTIONS,
    pipelining: 1,
  });
  /** Renewals under way; a VM that does not answer is not asked twice at a time. */
  readonly #renewing = new Set<string>();

  constructor(log: Log) {
    this.#log = log;
  }

  /** Ends all connections. */
  stop(): Promise<void> {
    return this.#dispatcher.destroy();
  }

  /** Sends an operation once. What gets no answer is sent again by a later pass where that is safe. */
  send(address: Address, operation: AgentOperation, take: TakeReport): void {
    const key = renewalOf(operation);
    if (key !== undefined && this.#renewing.has(key)) {
      return;
    }
    if (key !== undefined) {
      this.#renewing.add(key);
    }
    void this.#call(address, operation, take).finally(() => {
      if (key !== undefined) {
        this.#renewing.delete(key);
      }
    });
  }

  async #call(
    address: Address,
    operation: AgentOperation,
    take: TakeReport,
  ): Promise<void> {
    const deadline = AbortSignal.timeout(deadlineOf(operation));
    try {
      const answer = await request(`http://${address}/v1/tasks`, {
        method: "POST",
        body: JSON.stringify(operation),
        headers: { "content-type": "application/json" },
        signal: deadline,
        dispatcher: this.#dispatcher,
      });
      const report = AgentReport.parse(await answer.body.json());
      if (report.vm === operation.vm) {
        take(report, operation.urgent);
      }
    } catch (error) {
      this.#log.warn("task_agent.unreachable", {
        vm: operation.vm,
        operation: operation.id,
        reason: messageOf(error),
      });
    }
  }
}

/** One renewal at a time is under way with a VM, and one that is held back besides. */
function renewalOf(operation: AgentOperation): string | undefined {
  return operation.kind === "renew"
    ? `${operation.vm}:${operation.waitMs > 0}`
    : undefined;
}

/** An agent holds back its answer to some renewals, and answers a checkpoint that stops the run once the run has ended. */
function deadlineOf(operation: AgentOperation): number {
  switch (operation.kind) {
    case "renew":
      return CALL_MS + operation.waitMs;
    case "checkpoint":
      return CALL_MS + (operation.stop ? operation.graceMs : 0);
    default:
      return CALL_MS;
  }
}
