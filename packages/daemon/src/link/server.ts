/**
 * The listening end of the links between daemons.
 *
 * @module
 */
import { createServer, type Server } from "node:net";
import type { Address } from "@quetzalcove/core";
import type { Component } from "../lifecycle.ts";
import { hostAndPort } from "../net.ts";
import { Connection, type ConnectionParts } from "./connection.ts";

/** What a link server needs. */
export interface LinkListener extends ConnectionParts {
  address: Address;
}

export class LinkServer implements Component {
  readonly name = "link server";
  readonly #listener: LinkListener;
  readonly #connections = new Set<Connection>();
  #server: Server | undefined;

  constructor(listener: LinkListener) {
    this.#listener = listener;
  }

  start(): Promise<void> {
    const server = createServer((socket) => {
      const connection = new Connection(socket, this.#listener);
      this.#connections.add(connection);
      connection.onClose = () => this.#connections.delete(connection);
    });
    this.#server = server;
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(hostAndPort(this.#listener.address), resolve);
    });
  }

  /** Sends a message to every daemon that is connected. */
  broadcast(method: string, params: unknown): void {
    for (const connection of this.#connections) {
      connection.notify(method, params);
    }
  }

  stop(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#server?.close(() => resolve())
    );
    for (const connection of [...this.#connections]) {
      connection.close("daemon stops");
    }
    return closed;
  }
}
