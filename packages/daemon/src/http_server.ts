/**
 * An HTTP server with limits on its callers and a graceful stop.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  createServer as createParser,
  type IncomingMessage,
  type Server as Parser,
  type ServerResponse,
} from "node:http";
import { createServer, type Server, type Socket } from "node:net";
import {
  type Address,
  type CallerMemory,
  type Fault,
  fault,
  type Settings,
} from "@quetzalcove/core";
import {
  CallerConnection,
  overloadedFault,
  type ShedReason,
} from "./callers/caller_connection.ts";
import { ParseTurns } from "./callers/parse_turns.ts";
import type { Component } from "./lifecycle.ts";
import { hostAndPort } from "./net.ts";
import type { HttpReply } from "./problem.ts";

export { readBody } from "./callers/body_reader.ts";

/** Handles a request; resolves when nothing of it is held any more. */
export type RequestListener = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<unknown> | void;

/** Dependencies of an HTTP server. */
export interface HttpServerParts {
  name: string;
  address: Address;
  limits: Omit<Settings["limits"], "maxAdminBytes" | "memoryMb">;
  /** Memory for the callers of all servers of the process. */
  memory: CallerMemory;
  listener: RequestListener;
  /** Answers a request that no listener gets. */
  refuse: (
    request: IncomingMessage,
    response: ServerResponse,
    cause: Fault,
  ) => void;
  /** Whether requests are small, answered at once and never refused for want of memory. */
  isEssential?: boolean;
  /** Called when a request is refused, or a connection is closed, because of a limit. */
  onShed: (server: string, reason: ShedReason) => void;
}

/** How the servers of a process limit their callers. */
export type ServerLimits = Pick<
  HttpServerParts,
  "limits" | "memory" | "refuse" | "onShed"
>;

/** Time after which connections that are still open during a stop are closed. */
const CLOSE_TIMEOUT_MS = 5_000;

/** Interval at which deadlines of connections are checked. */
const CHECK_INTERVAL_MS = 1_000;

/** Rest of a body that no listener reads, up to which the connection stays open. */
const MAX_SKIPPED_BYTES = 65_536;

/** Statuses for what is no valid request, by error code; 400 for others. */
const MALFORMED_STATUS: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
};

export class HttpServer implements Component {
  readonly name: string;
  readonly #parts: HttpServerParts;
  readonly #server: Server;
  readonly #parser: Parser;
  readonly #turns = new ParseTurns();
  readonly #connections = new Set<CallerConnection>();
  #checkTimer: NodeJS.Timeout | undefined;
  #stopping = false;

  constructor(parts: HttpServerParts) {
    const { limits } = parts;
    this.name = parts.name;
    this.#parts = parts;
    this.#server = createServer(
      { allowHalfOpen: true, noDelay: true },
      (socket) => this.#accept(socket),
    );
    this.#parser = createParser({
      maxHeaderSize: limits.maxHeaderBytes,
      keepAliveTimeout: limits.keepAliveMs,
      // Checked here, so that such requests are counted.
      requireHostHeader: false,
    }, (request, response) => this.#serve(request, response));
    this.#parser.on(
      "checkExpectation",
      (request: IncomingMessage, response: ServerResponse) => {
        this.#onShed("expectation");
        response.writeHead(417, { "content-length": 0 });
        response.end();
        this.#connectionOf(request)?.startRequest(request, response)
          ?.endHandler();
      },
    );
    this.#parser.on(
      "clientError",
      (error: NodeJS.ErrnoException, stream: unknown) =>
        (stream as CallerConnection).refuse(
          MALFORMED_STATUS[error.code ?? ""] ?? 400,
          "malformed",
        ),
    );
  }

  start(): Promise<void> {
    this.#checkTimer = setInterval(
      () => this.#checkTimeouts(),
      CHECK_INTERVAL_MS,
    );
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(hostAndPort(this.#parts.address), resolve);
    });
  }

  /** Accepts no more connections and waits until all responses are written; each response closes its connection. */
  async stop(): Promise<void> {
    this.#stopping = true;
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    for (const connection of this.#connections) {
      if (connection.isIdle) {
        connection.destroy();
      } else {
        connection.closeAfterAnswers();
      }
    }
    const timeout = setTimeout(() => this.abort(), CLOSE_TIMEOUT_MS);
    await closed;
    clearTimeout(timeout);
    clearInterval(this.#checkTimer);
  }

  /** Closes all connections. */
  abort(): void {
    this.#connections.forEach((connection) => connection.destroy());
  }

  #accept(socket: Socket): void {
    const { limits, memory } = this.#parts;
    const now = performance.now();
    if (this.#connections.size >= limits.maxConnections) {
      this.#onShed("connections");
      const accounts = [...this.#connections]
        .filter(({ destroyed }) => !destroyed)
        .map(({ account }) => account);
      if (!memory.closeOne(accounts, now)) {
        socket.destroy();
        return;
      }
    }
    const connection = new CallerConnection({
      socket,
      memory,
      turns: this.#turns,
      timeouts: limits,
      now: () => performance.now(),
      onShed: (reason) => this.#onShed(reason),
    });
    this.#connections.add(connection);
    connection.once("close", () => this.#connections.delete(connection));
    if (!connection.destroyed) {
      this.#parser.emit("connection", connection);
    }
  }

  /** Serves a request. During a stop the response closes the connection, which a caller could keep busy forever. */
  #serve(request: IncomingMessage, response: ServerResponse): void {
    const hold = this.#connectionOf(request)?.startRequest(request, response);
    if (hold === undefined) {
      return;
    }
    if (this.#stopping) {
      hold.closeAfterAnswer();
    }
    const cause = this.#refusalOf(request, hold.hasRoom);
    if (cause === undefined) {
      const handled = this.#parts.listener(request, response);
      if (handled === undefined) {
        hold.endHandler();
      } else {
        void handled.finally(() => hold.endHandler());
      }
    } else {
      hold.closeAfterAnswer();
      this.#parts.refuse(request, response, cause);
      hold.endHandler();
    }
  }

  #refusalOf(request: IncomingMessage, hasRoom: boolean): Fault | undefined {
    if (request.headers.host === undefined && request.httpVersion === "1.1") {
      this.#onShed("no_host");
      return fault("invalid", "The request has no Host header", {
        outcome: "not run",
      });
    }
    if (!hasRoom && this.#parts.isEssential !== true) {
      this.#onShed("memory");
      return overloadedFault();
    }
    return undefined;
  }

  #connectionOf({ socket }: IncomingMessage): CallerConnection | undefined {
    return socket instanceof CallerConnection ? socket : undefined;
  }

  #checkTimeouts(): void {
    const now = performance.now();
    this.#connections.forEach((connection) => connection.checkTimeouts(now));
  }

  #onShed(reason: ShedReason): void {
    this.#parts.onShed(this.name, reason);
  }
}

/** Writes a reply, unless the connection is closed or a reply was written already; it counts until the caller has it. */
export function writeReply(
  request: IncomingMessage,
  response: ServerResponse,
  { status, headers, body }: HttpReply,
): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  if (!isRestSmall(request)) {
    response.setHeader("connection", "close");
  }
  const { socket } = request;
  if (socket instanceof CallerConnection) {
    socket.holdAnswer(response, Buffer.byteLength(body));
  }
  response.writeHead(status, headers);
  response.end(request.method === "HEAD" ? undefined : body);
}

/** Whether what was not read of a request is so short that the next request on the connection can be waited for. */
function isRestSmall({ complete, headers }: IncomingMessage): boolean {
  return complete || (headers["transfer-encoding"] === undefined &&
    Number(headers["content-length"] ?? 0) <= MAX_SKIPPED_BYTES);
}
