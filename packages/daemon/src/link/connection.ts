/**
 * A connection between two daemons: JSON-RPC 2.0 in both directions over TCP, one message per line.
 *
 * A TCP connection stays open when its peer has stopped responding, so both ends send heartbeats and close a
 * connection on which nothing was received for the idle timeout.
 *
 * @module
 */
import type { Socket } from "node:net";
import { Buffer } from "node:buffer";
import { Err, Fault, fault, Ok, type Result } from "@quetzalcove/core";
import {
  isJSONRPCRequest,
  isJSONRPCResponse,
  JSONRPCClient,
  JSONRPCErrorException,
  JSONRPCServer,
} from "json-rpc-2.0";

/** Intervals and limits of a connection. */
export interface ConnectionSettings {
  heartbeatMs: number;
  idleMs: number;
  maxMessageBytes: number;
  maxQueuedBytes: number;
}

/** Handles a request of the peer; a fault is sent back as an error response. */
export type Handler = (
  params: unknown,
  connection?: Connection,
) => Promise<Result<unknown, Fault>>;

/** Handlers by method name. */
export type Handlers = ReadonlyMap<string, Handler>;

const FAULT_CODE = -32_000;
const HEARTBEAT_METHOD = "heartbeat";
const NEWLINE = 0x0a;

/** Dependencies shared by all connections of a daemon. */
export interface ConnectionParts {
  handlers: Handlers;
  settings: ConnectionSettings;
  /** Monotonic time in milliseconds. */
  now: () => number;
  /** Counts bytes sent and received. */
  count: (direction: "sent" | "received", bytes: number) => void;
}

export class Connection {
  readonly #socket: Socket;
  readonly #count: ConnectionParts["count"];
  readonly #settings: ConnectionSettings;
  readonly #client: JSONRPCClient;
  readonly #server = new JSONRPCServer({ errorListener: () => {} });
  readonly #heartbeatTimer: NodeJS.Timeout;
  #idleTimer: NodeJS.Timeout | undefined;
  #hasSent = false;
  #partialLine: Buffer[] = [];
  #partialLineBytes = 0;
  #lastReceivedAt: number;
  #closed = false;
  /** Name of the entry at the other end; undefined until it is known. */
  peer: string | undefined;
  /** Called once when the connection ends. */
  onClose: (reason: string) => void = () => {};

  constructor(socket: Socket, parts: ConnectionParts) {
    const { handlers, settings, now, count } = parts;
    this.#socket = socket;
    this.#settings = settings;
    this.#count = count;
    this.#lastReceivedAt = now();
    this.#client = new JSONRPCClient((request) => this.#write(request));
    for (const [method, handler] of handlers) {
      this.#server.addMethod(method, (params) => this.#handle(handler, params));
    }
    this.#server.addMethod(HEARTBEAT_METHOD, () => null);
    socket.setNoDelay(true);
    socket.on("data", (chunk) => {
      this.#lastReceivedAt = now();
      this.#count("received", chunk.length);
      this.#read(chunk);
    });
    socket.on("error", (error) => this.close(error.message));
    socket.on("close", () => this.close("closed by the other end"));
    this.#heartbeatTimer = setInterval(
      () => this.#sendHeartbeat(),
      settings.heartbeatMs,
    );
    this.#watchIdle(now);
  }

  get isOpen(): boolean {
    return !this.#closed;
  }

  /** Calls a method at the peer; fails with a fault after the timeout in milliseconds. */
  async request(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, Fault>> {
    try {
      return Ok(await this.#client.timeout(timeoutMs).request(method, params));
    } catch (error) {
      return Err(this.#toFault(error, method));
    }
  }

  /** Sends a message without an answer. It is dropped if the connection is closed or the send queue is full. */
  notify(method: string, params: unknown): void {
    if (
      !this.#closed &&
      this.#socket.writableLength < this.#settings.maxQueuedBytes
    ) {
      this.#client.notify(method, params);
    }
  }

  close(reason: string): void {
    if (this.#closed) {
      return;
    }
    this.#closed = true;
    clearInterval(this.#heartbeatTimer);
    clearTimeout(this.#idleTimer);
    this.#socket.destroy();
    this.#partialLine = [];
    this.#client.rejectAllPendingRequests(`Connection closed: ${reason}`);
    this.onClose(reason);
  }

  /** Closes the connection if nothing was received for the idle timeout; otherwise checks again when it may elapse. */
  #watchIdle(now: () => number): void {
    const leftMs = this.#lastReceivedAt + this.#settings.idleMs - now();
    if (leftMs <= 0) {
      this.close(`nothing arrived for ${this.#settings.idleMs} ms`);
      return;
    }
    this.#idleTimer = setTimeout(() => this.#watchIdle(now), leftMs);
  }

  /** Sends a heartbeat if nothing was sent for one interval; any message shows the peer that this end is alive. */
  #sendHeartbeat(): void {
    if (!this.#hasSent) {
      this.notify(HEARTBEAT_METHOD, []);
    }
    this.#hasSent = false;
  }

  #write(message: unknown): Promise<void> {
    if (this.#closed) {
      return Promise.reject(new Error("Connection is closed"));
    }
    if (this.#socket.writableLength >= this.#settings.maxQueuedBytes) {
      return Promise.reject(new Error("Send queue is full"));
    }
    const line = Buffer.from(`${JSON.stringify(message)}\n`);
    this.#count("sent", line.length);
    this.#hasSent = true;
    this.#socket.write(line);
    return Promise.resolve();
  }

  #read(chunk: Buffer): void {
    let rest = chunk;
    for (
      let end = rest.indexOf(NEWLINE);
      end >= 0;
      end = rest.indexOf(NEWLINE)
    ) {
      const line = Buffer.concat([...this.#partialLine, rest.subarray(0, end)]);
      this.#partialLine = [];
      this.#partialLineBytes = 0;
      rest = rest.subarray(end + 1);
      this.#receive(line.toString("utf8"));
    }
    this.#partialLine.push(rest);
    this.#partialLineBytes += rest.length;
    if (this.#partialLineBytes > this.#settings.maxMessageBytes) {
      this.close(
        `message is longer than ${this.#settings.maxMessageBytes} bytes`,
      );
    }
  }

  #receive(line: string): void {
    let message: unknown;
    try {
      message = JSON.parse(line);
    } catch {
      this.close("message is not JSON");
      return;
    }
    if (isJSONRPCResponse(message)) {
      this.#client.receive(message);
    } else if (isJSONRPCRequest(message)) {
      this.#serveRequest(message);
    } else {
      this.close("message is not JSON-RPC 2.0");
    }
  }

  async #serveRequest(
    message: Parameters<JSONRPCServer["receive"]>[0],
  ): Promise<void> {
    const response = await this.#server.receive(message);
    if (response !== null) {
      await this.#write(response).catch(() =>
        this.close("answer could not be sent")
      );
    }
  }

  async #handle(handler: Handler, params: unknown): Promise<unknown> {
    const result = await handler(params, this);
    if (result.err) {
      throw new JSONRPCErrorException(
        result.val.message,
        FAULT_CODE,
        result.val,
      );
    }
    return result.val;
  }

  #toFault(error: unknown, method: string): Fault {
    if (error instanceof JSONRPCErrorException && error.data !== undefined) {
      const parsed = Fault.safeParse(error.data);
      return parsed.success
        ? parsed.data
        : fault("internal", `${method}: ${error.message}`);
    }
    const message = error instanceof Error ? error.message : String(error);
    return fault(
      "timeout",
      `Call of ${method} at "${this.peer ?? "?"}" failed: ${message}`,
    );
  }
}
