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

/** Dependencies of a link server. */
export interface LinkServerParts extends ConnectionParts {
  address: Address;
}

/** Connections to be accepted: of the other daemons, which have one each, and of some that are being replaced. */
const MAX_CONNECTIONS = 1_024;

export class LinkServer implements Component {
  readonly name = "link server";
  readonly #parts: LinkServerParts;
  readonly #connections = new Set<Connection>();
  #server: Server | undefined;

  constructor(parts: LinkServerParts) {
    this.#parts = parts;
  }

  start(): Promise<void> {
    const server = createServer((socket) => {
      const connection = new Connection(socket, this.#parts);
      this.#connections.add(connection);
      connection.onClose = () => this.#connections.delete(connection);
    });
    server.maxConnections = MAX_CONNECTIONS;
    this.#server = server;
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(hostAndPort(this.#parts.address), resolve);
    });
  }

  /** Sends a message to every connected daemon. */
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
