/**
 * Client for the orders by which platform agents drain, reboot and resume VMs.
 *
 * @module
 */
import {
  type Address,
  type AgentCall,
  type AgentOrder,
  AgentOrderAnswer,
  evictOldest,
  type OperationStatus,
} from "@quetzalcove/core";
import { Agent, request } from "undici";
import type { Component } from "../lifecycle.ts";
import { errorMessage, type Log } from "../observe/log.ts";

const CALL_TIMEOUT_MS = 2_000;

/** Longest answer that is read. */
const MAX_ANSWER_BYTES = 65_536;

/** Maximum number of operations whose last status is kept. */
const MAX_STATUSES = 8_192;

export class PlatformAgentClient implements Component {
  readonly name = "platform agents";
  readonly #log: Log;
  readonly #dispatcher = new Agent({
    connect: { timeout: CALL_TIMEOUT_MS },
    pipelining: 1,
    maxResponseSize: MAX_ANSWER_BYTES,
  });
  readonly #statuses = new Map<string, OperationStatus>();
  readonly #drained = new Map<string, boolean>();
  readonly #pendingOperations = new Set<string>();

  constructor(log: Log) {
    this.#log = log;
  }

  /** Status that agents last reported, by operation id. */
  get statuses(): ReadonlyMap<string, OperationStatus> {
    return this.#statuses;
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return this.#dispatcher.destroy();
  }

  /** Whether the agent of a VM last reported it as drained. */
  isDrained(vm: string): boolean {
    return this.#drained.get(vm) ?? false;
  }

  /** Sends an order unless the same operation awaits its answer; the answer is recorded in `statuses`. */
  order(address: Address | undefined, action: AgentCall, term: number): void {
    if (
      address === undefined || this.#pendingOperations.has(action.operation)
    ) {
      return;
    }
    this.#pendingOperations.add(action.operation);
    void this.#call(address, { ...action, term }).finally(() => {
      this.#pendingOperations.delete(action.operation);
    });
  }

  async #call(address: Address, order: AgentOrder): Promise<void> {
    try {
      const answer = await request(`http://${address}/v1/vm`, {
        method: "POST",
        body: JSON.stringify(order),
        headers: { "content-type": "application/json" },
        headersTimeout: CALL_TIMEOUT_MS,
        bodyTimeout: CALL_TIMEOUT_MS,
        dispatcher: this.#dispatcher,
      });
      const { operation, status, drained } = AgentOrderAnswer.parse(
        await answer.body.json(),
      );
      this.#drained.set(order.vm, drained);
      this.#recordStatus(operation, status);
    } catch (error) {
      // The next maintenance pass sends the order again, with the same operation id.
      this.#log.warn("agent.unreachable", {
        vm: order.vm,
        order: order.kind,
        reason: errorMessage(error),
      });
    }
  }

  #recordStatus(operation: string, status: OperationStatus): void {
    this.#statuses.delete(operation);
    this.#statuses.set(operation, status);
    evictOldest(this.#statuses, MAX_STATUSES);
  }
}
