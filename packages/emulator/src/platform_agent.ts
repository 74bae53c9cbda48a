/**
 * An emulated platform agent of a VM that drains, reboots and resumes it. Each operation takes place at most once.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { AgentOrder, type AgentOrderAnswer } from "@quetzalcove/core";
import { listenAt } from "./listen.ts";

/** Options of an emulated platform agent. */
export interface PlatformAgentOptions {
  address: string;
  /** Reboots the VM; resolves once it is running again. */
  reboot: () => Promise<void>;
}

type Status = AgentOrderAnswer["status"];

export class PlatformAgent {
  readonly #options: PlatformAgentOptions;
  readonly #server: Server;
  readonly #statusByOperation = new Map<string, Status>();
  #term = 0;
  #drained = false;
  #reboots = 0;

  constructor(options: PlatformAgentOptions) {
    this.#options = options;
    this.#server = createServer((request, response) =>
      void this.#serve(request, response)
    );
  }

  /** Number of reboots of the VM so far. */
  get reboots(): number {
    return this.#reboots;
  }

  start(): Promise<void> {
    return listenAt(this.#server, this.#options.address);
  }

  stop(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: string[] = [];
    for await (const chunk of request) {
      chunks.push(String(chunk));
    }
    const order = AgentOrder.parse(JSON.parse(chunks.join("")));
    const answer: AgentOrderAnswer = {
      operation: order.operation,
      status: order.term < this.#term ? "failed" : this.#perform(order),
      drained: this.#drained,
    };
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(answer));
  }

  #perform(order: AgentOrder): Status {
    this.#term = order.term;
    const known = this.#statusByOperation.get(order.operation);
    if (known !== undefined) {
      return known;
    }
    if (order.kind === "reboot") {
      this.#reboots += 1;
      this.#statusByOperation.set(order.operation, "running");
      void this.#options.reboot().then(() =>
        this.#statusByOperation.set(order.operation, "done")
      );
      return "running";
    }
    this.#drained = order.kind === "drain";
    this.#statusByOperation.set(order.operation, "done");
    return "done";
  }
}
