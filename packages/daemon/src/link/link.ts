/**
 * The connecting end of a link to one peer. It keeps one connection open, and reconnects when it closes.
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
import type { Hello } from "./hello.ts";

/** Dependencies of a link. */
export interface LinkParts extends ConnectionParts {
  peer: string;
  address: Address;
  /** Local address to connect from, so that the peer sees the IP address of this daemon. */
  localHost: string;
  log: Log;
  hello: Hello;
}

/** Delay between attempts to connect to a peer that may be restarting. */
const FIRST_RECONNECT_DELAY_MS = 50;

/** Time after the loss of a connection, or from the start, in which a restart of the peer ends. */
const RESTART_MS = 2_000;

/** Delay between attempts to connect after that. */
const RECONNECT_DELAY_MS = 200;

/**
 * Deadline of an attempt to connect: some round trips of a long link. A host that was off or cut off when an attempt began
 * answers it only after TCP's first retransmission, a second later.
 */
const CONNECT_TIMEOUT_MS = 500;

export class Link implements Component {
  readonly name: string;
  readonly peer: string;
  readonly #parts: LinkParts;
  #connection: Connection | undefined;
  #socket: Socket | undefined;
  #reconnectTimer: NodeJS.Timeout | undefined;
  /** Since when there has been no connection, in monotonic milliseconds. */
  #closedSince = 0;
  #stopped = false;

  constructor(parts: LinkParts) {
    this.#parts = parts;
    this.peer = parts.peer;
    this.name = `link to ${parts.peer}`;
  }

  get isOpen(): boolean {
    return this.#connection?.isOpen ?? false;
  }

  start(): Promise<void> {
    this.#closedSince = this.#parts.now();
    this.#connect();
    return Promise.resolve();
  }

  /** Ends the delay before the next attempt to connect, if there is one. */
  reconnect(): void {
    if (!this.#stopped && this.#reconnectTimer !== undefined) {
      clearTimeout(this.#reconnectTimer);
      this.#connect();
    }
  }

  stop(): Promise<void> {
    this.#stopped = true;
    clearTimeout(this.#reconnectTimer);
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
    this.#reconnectTimer = undefined;
    const { address, localHost } = this.#parts;
    const { host, port } = hostAndPort(address);
    const socket = connect({ host, port, localAddress: localHost });
    this.#socket = socket;
    const connectTimer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.once("connect", () => {
      clearTimeout(connectTimer);
      this.#openConnection(socket);
    });
    socket.on("error", () => {});
    socket.once("close", () => {
      clearTimeout(connectTimer);
      this.#scheduleReconnect();
    });
  }

  #openConnection(socket: Socket): void {
    const { settings, log, peer } = this.#parts;
    const connection = new Connection(socket, this.#parts);
    connection.peer = peer;
    connection.onClose = (reason) => {
      log.warn("link.closed", { peer, reason });
      this.#connection = undefined;
      this.#closedSince = this.#parts.now();
    };
    this.#connection = connection;
    log.info("link.open", { peer });
    void connection.request("hello", this.#parts.hello, settings.idleMs);
  }

  #scheduleReconnect(): void {
    if (this.#stopped) {
      return;
    }
    const isRestart = this.#parts.now() - this.#closedSince < RESTART_MS;
    this.#reconnectTimer = setTimeout(
      () => this.#connect(),
      isRestart ? FIRST_RECONNECT_DELAY_MS : RECONNECT_DELAY_MS,
    );
  }
}
