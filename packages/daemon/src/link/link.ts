/**
 * The calling end of a link to one peer. It keeps one connection and replaces it when it ends.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import {
  type Address,
  Err,
  type Fault,
  fault,
  type Result,
} from "@quetzalcove/core";
import type { Component } from "../lifecycle.ts";
import { hostAndPort } from "../net.ts";
import type { Log } from "../observe/log.ts";
import { Connection, type ConnectionParts } from "./connection.ts";

/** What a link needs. */
export interface LinkTarget extends ConnectionParts {
  peer: string;
  address: Address;
  /** The entry's own local address, so that the peer sees the IP number of this daemon. */
  localHost: string;
  log: Log;
  /** Names this daemon and its cluster to the peer. */
  hello: { cluster: string; entry: string };
}

/** Waits between attempts to connect, in milliseconds. */
const RECONNECT_MS = 200;

export class Link implements Component {
  readonly name: string;
  readonly peer: string;
  readonly #target: LinkTarget;
  #connection: Connection | undefined;
  #socket: Socket | undefined;
  #retry: NodeJS.Timeout | undefined;
  #stopped = false;

  constructor(target: LinkTarget) {
    this.#target = target;
    this.peer = target.peer;
    this.name = `link to ${target.peer}`;
  }

  get isOpen(): boolean {
    return this.#connection?.isOpen ?? false;
  }

  start(): Promise<void> {
    this.#connect();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.#stopped = true;
    clearTimeout(this.#retry);
    this.#connection?.close("daemon stops");
    this.#socket?.destroy();
    return Promise.resolve();
  }

  request(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, Fault>> {
    if (this.#connection === undefined) {
      return Promise.resolve(
        Err(
          fault("no_leader", `No connection to "${this.peer}"`, {
            outcome: "not run",
          }),
        ),
      );
    }
    return this.#connection.request(method, params, timeoutMs);
  }

  notify(method: string, params: unknown): void {
    this.#connection?.notify(method, params);
  }

  #connect(): void {
    const { address, localHost, bounds } = this.#target;
    const { host, port } = hostAndPort(address);
    const socket = connect({ host, port, localAddress: localHost });
    this.#socket = socket;
    const timer = setTimeout(() => socket.destroy(), bounds.idleMs);
    socket.once("connect", () => {
      clearTimeout(timer);
      this.#adopt(socket);
    });
    socket.on("error", () => {});
    socket.once("close", () => {
      clearTimeout(timer);
      this.#retryLater();
    });
  }

  #adopt(socket: Socket): void {
    const { bounds, log, peer } = this.#target;
    const connection = new Connection(socket, this.#target);
    connection.peer = peer;
    connection.onClose = (reason) => {
      log.warn("link.closed", { peer, reason });
      this.#connection = undefined;
    };
    this.#connection = connection;
    log.info("link.open", { peer });
    void connection.request("hello", this.#target.hello, bounds.idleMs);
  }

  #retryLater(): void {
    if (!this.#stopped) {
      this.#retry = setTimeout(() => this.#connect(), RECONNECT_MS);
    }
  }
}
