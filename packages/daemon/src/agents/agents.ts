/**
 * Calls of the leader to the platform agents of VMs.
 *
 * @module
 */
import {
  type Address,
  type AgentAction,
  type OperationStatus,
  type VmOrder,
  VmOrderAnswer,
} from "@quetzalcove/core";
import { Agent, request } from "undici";
import type { Component } from "../lifecycle.ts";
import { type Log, messageOf } from "../observe/log.ts";

/** Deadline of one call to an agent, in milliseconds. */
const CALL_MS = 2_000;

/** Operations whose answers are remembered. */
const MAX_OPERATIONS = 8_192;

export class PlatformAgents implements Component {
  readonly name = "platform agents";
  readonly #log: Log;
  readonly #dispatcher = new Agent({
    connect: { timeout: CALL_MS },
    pipelining: 1,
  });
  readonly #statuses = new Map<string, OperationStatus>();
  readonly #drained = new Map<string, boolean>();
  readonly #calling = new Set<string>();

  constructor(log: Log) {
    this.#log = log;
  }

  /** The last answers of agents, by operation id. */
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

  /** Gives an order unless the same one is under way; the answer is found in `statuses`. */
  order(address: Address | undefined, action: AgentAction, term: number): void {
    if (address === undefined || this.#calling.has(action.operation)) {
      return;
    }
    this.#calling.add(action.operation);
    void this.#call(address, { ...action, term }).finally(() => {
      this.#calling.delete(action.operation);
    });
  }

  async #call(address: Address, order: VmOrder): Promise<void> {
    try {
      const answer = await request(`http://${address}/v1/vm`, {
        method: "POST",
        body: JSON.stringify(order),
        headers: { "content-type": "application/json" },
        headersTimeout: CALL_MS,
        bodyTimeout: CALL_MS,
        dispatcher: this.#dispatcher,
      });
      const { operation, status, drained } = VmOrderAnswer.parse(
        await answer.body.json(),
      );
      this.#drained.set(order.vm, drained);
      this.#remember(operation, status);
    } catch (error) {
      // The order is given again at the next pass, under the same operation id.
      this.#log.warn("agent.unreachable", {
        vm: order.vm,
        order: order.kind,
        reason: messageOf(error),
      });
    }
  }

  #remember(operation: string, status: OperationStatus): void {
    this.#statuses.delete(operation);
    this.#statuses.set(operation, status);
    const [oldest] = this.#statuses.keys();
    if (this.#statuses.size > MAX_OPERATIONS && oldest !== undefined) {
      this.#statuses.delete(oldest);
    }
  }
}
