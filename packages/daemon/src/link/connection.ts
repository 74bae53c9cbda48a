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
import {
  type CallerAccount,
  type CallerMemory,
  Err,
  Fault,
  fault,
  Ok,
  type Result,
} from "@quetzalcove/core";
import {
  isJSONRPCRequest,
  isJSONRPCResponse,
  JSONRPCClient,
  JSONRPCErrorException,
  JSONRPCServer,
} from "json-rpc-2.0";
import { BodyBuffer } from "../callers/body_buffer.ts";

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
const HELLO_METHOD = "hello";
const NEWLINE = 0x0a;

/** Calls of a peer in progress from which no more are read: of one that has not said hello, and of a daemon. */
const MAX_UNIDENTIFIED_CALLS = 16;
const MAX_CALLS = 4_096;

/** Largest message of a peer that has not said hello. */
const MAX_UNIDENTIFIED_MESSAGE_BYTES = 65_536;

/** Dependencies shared by all connections of a daemon. */
export interface ConnectionParts {
  handlers: Handlers;
  settings: ConnectionSettings;
  /** Monotonic time in milliseconds. */
  now: () => number;
  /** Counts bytes sent and received. */
  count: (direction: "sent" | "received", bytes: number) => void;
  /**
   * Memory for callers, for connections that others have opened: whoever can reach the address may open one. Until it has
   * said hello it has few calls in progress.
   */
  memory?: CallerMemory;
}

export class Connection {
  readonly #socket: Socket;
  readonly #count: ConnectionParts["count"];
  readonly #settings: ConnectionSettings;
  readonly #client: JSONRPCClient;
  readonly #server = new JSONRPCServer({ errorListener: () => {} });
  readonly #heartbeatTimer: NodeJS.Timeout;
  #idleTimer: NodeJS.Timeout | undefined;
  readonly #account: CallerAccount | undefined;
  readonly #now: () => number;
  #hasSent = false;
  readonly #partialLine = new BodyBuffer();
  /** Received, but not read while too many calls are in progress. */
  #unread: Buffer | undefined;
  #callsInProgress = 0;
  /** Whether the peer is known to be a daemon of this cluster. */
  #isIdentified: boolean;
  #lastReceivedAt: number;
  #closed = false;
  /** Name of the entry at the other end; undefined until it is known. */
  peer: string | undefined;
  /** Called once when the connection ends. */
  onClose: (reason: string) => void = () => {};

  constructor(socket: Socket, parts: ConnectionParts) {
    const { handlers, settings, now, count, memory } = parts;
    this.#socket = socket;
    this.#settings = settings;
    this.#count = count;
    this.#lastReceivedAt = now();
    this.#now = now;
    this.#isIdentified = memory === undefined;
    this.#account = memory?.open(
      () => this.close("callers take all the memory for them"),
      now(),
    );
    this.#client = new JSONRPCClient((request) => this.#write(request));
    for (const [method, handler] of handlers) {
      this.#server.addMethod(method, async (params) => {
        const result = await this.#handle(handler, params);
        if (method === HELLO_METHOD) {
          this.#isIdentified = true;
          this.#account?.protect();
        }
        return result;
      });
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
    this.#partialLine.clear();
    this.#unread = undefined;
    this.#account?.close(this.#now());
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
    this.#idleTimer = setTimeout(() => {
      if (this.#isIdentified) {
        this.#watchIdle(now);
      } else {
        this.close(`no hello for ${this.#settings.idleMs} ms`);
      }
    }, leftMs);
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
    if (this.#account === undefined) {
      this.#socket.write(line);
    } else {
      this.#account.hold(line.length, this.#now());
      this.#socket.write(
        line,
        () => this.#account?.free(line.length, this.#now()),
      );
    }
    return Promise.resolve();
  }

  #read(chunk: Buffer): void {
    let rest = chunk;
    for (
      let end = rest.indexOf(NEWLINE);
      end >= 0 && !this.#closed;
      end = rest.indexOf(NEWLINE)
    ) {
      if (this.#callsInProgress >= this.#maxCalls) {
        this.#stopReading(rest);
        return;
      }
      const line = this.#endLine(rest.subarray(0, end));
      rest = rest.subarray(end + 1);
      this.#receive(line);
    }
    if (!this.#closed && rest.length > 0) {
      this.#keepPartialLine(rest);
    }
  }

  get #maxCalls(): number {
    return this.#isIdentified ? MAX_CALLS : MAX_UNIDENTIFIED_CALLS;
  }

  /** Text of a line whose last part is given. */
  #endLine(end: Buffer): string {
    if (this.#partialLine.length === 0) {
      return end.toString("utf8");
    }
    this.#account?.free(this.#partialLine.capacity, this.#now());
    this.#partialLine.append(end);
    return this.#partialLine.take().toString("utf8");
  }

  #keepPartialLine(part: Buffer): void {
    const before = this.#partialLine.capacity;
    this.#partialLine.append(part);
    const maxBytes = this.#isIdentified
      ? this.#settings.maxMessageBytes
      : Math.min(
        MAX_UNIDENTIFIED_MESSAGE_BYTES,
        this.#settings.maxMessageBytes,
      );
    if (this.#partialLine.length > maxBytes) {
      this.close(`message is longer than ${maxBytes} bytes`);
      return;
    }
    this.#account?.hold(this.#partialLine.capacity - before, this.#now());
  }

  /** Keeps what was received until a call has ended. */
  #stopReading(unread: Buffer): void {
    this.#socket.pause();
    this.#unread = unread;
    this.#account?.hold(unread.length, this.#now());
  }

  #readOn(): void {
    const unread = this.#unread;
    if (unread !== undefined && !this.#closed) {
      this.#unread = undefined;
      this.#account?.free(unread.length, this.#now());
      this.#socket.resume();
      this.#read(unread);
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
    this.#callsInProgress += 1;
    const response = await this.#server.receive(message);
    this.#callsInProgress -= 1;
    this.#readOn();
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
