/**
 * An emulated platform agent of a VM: it drains, reboots and resumes, each operation at most once.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { VmOrder, type VmOrderAnswer } from "@quetzalcove/core";
import { listenAt } from "./listen.ts";

/** What an emulated agent is built with. */
export interface AgentSetup {
  address: string;
  /** Reboots the VM; resolves once it is up again. */
  reboot: () => Promise<void>;
}

type Status = VmOrderAnswer["status"];

export class PlatformAgent {
  readonly #setup: AgentSetup;
  readonly #server: Server;
  readonly #statuses = new Map<string, Status>();
  #term = 0;
  #drained = false;
  #reboots = 0;

  constructor(setup: AgentSetup) {
    this.#setup = setup;
    this.#server = createServer((request, response) =>
      void this.#serve(request, response)
    );
  }

  /** How often the VM was rebooted. */
  get reboots(): number {
    return this.#reboots;
  }

  start(): Promise<void> {
    return listenAt(this.#server, this.#setup.address);
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
    const order = VmOrder.parse(JSON.parse(chunks.join("")));
    const answer: VmOrderAnswer = {
      operation: order.operation,
      status: order.term < this.#term ? "failed" : this.#perform(order),
      drained: this.#drained,
    };
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(answer));
  }

  #perform(order: VmOrder): Status {
    this.#term = order.term;
    const known = this.#statuses.get(order.operation);
    if (known !== undefined) {
      return known;
    }
    if (order.kind === "reboot") {
      this.#reboots += 1;
      this.#statuses.set(order.operation, "running");
      void this.#setup.reboot().then(() =>
        this.#statuses.set(order.operation, "done")
      );
      return "running";
    }
    this.#drained = order.kind === "drain";
    this.#statuses.set(order.operation, "done");
    return "done";
  }
}
