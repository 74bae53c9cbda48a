/**
 * An HTTP server with bounds on its callers and a graceful end.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  type Address,
  Err,
  type Fault,
  fault,
  Ok,
  type Result,
  type Settings,
} from "@quetzalcove/core";
import type { Component } from "./lifecycle.ts";
import { hostAndPort } from "./net.ts";
import type { HttpReply } from "./problem.ts";

export type Listener = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** What an HTTP server needs. */
export interface HttpListener {
  name: string;
  address: Address;
  limits: Omit<Settings["limits"], "maxAdminBytes">;
  listener: Listener;
}

/** How long connections may take to end after the last request, in milliseconds. */
const CLOSE_LIMIT_MS = 5_000;

export class HttpServer implements Component {
  readonly name: string;
  readonly #listener: HttpListener;
  readonly #server: Server;
  /** Requests whose answer has not been written to its end. */
  readonly #open = new Set<ServerResponse>();
  #stopping = false;

  constructor(listener: HttpListener) {
    const { limits } = listener;
    this.name = listener.name;
    this.#listener = listener;
    this.#server = createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      keepAliveTimeout: limits.keepAliveMs,
    }, (request, response) => this.#serve(request, response));
    this.#server.maxConnections = limits.maxConnections;
  }

  start(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(hostAndPort(this.#listener.address), resolve);
    });
  }

  /** Accepts no more connections and waits until all answers are written; each answer ends its connection. */
  async stop(): Promise<void> {
    this.#stopping = true;
    this.#open.forEach((response) => endConnection(response));
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeIdleConnections();
    const limit = setTimeout(() => this.abort(), CLOSE_LIMIT_MS);
    await closed;
    clearTimeout(limit);
  }

  /** Ends connections that are still open. */
  abort(): void {
    this.#server.closeAllConnections();
  }

  /** A caller may keep a connection busy for good, so it is asked to leave with its next answer. */
  #serve(request: IncomingMessage, response: ServerResponse): void {
    this.#open.add(response);
    response.once("close", () => this.#open.delete(response));
    if (this.#stopping) {
      endConnection(response);
    }
    this.#listener.listener(request, response);
  }
}

function endConnection(response: ServerResponse): void {
  if (!response.headersSent) {
    response.setHeader("connection", "close");
  }
}

/** Reads a body to its end; a longer or truncated one is a fault. */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, Fault>> {
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > maxBytes) {
    return Promise.resolve(Err(tooLarge(maxBytes)));
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        resolve(Err(tooLarge(maxBytes)));
        request.pause();
      } else {
        chunks.push(chunk);
      }
    });
    request.on("end", () => resolve(Ok(Buffer.concat(chunks))));
    // Building an error costs a stack trace, and every request closes in the end.
    const onClose = (): void => {
      if (!request.complete) {
        resolve(Err(truncated()));
      }
    };
    request.on("close", onClose);
    request.on("error", onClose);
  });
}

function tooLarge(maxBytes: number): Fault {
  return fault("too_large", `The body is longer than ${maxBytes} bytes`, {
    outcome: "not run",
  });
}

function truncated(): Fault {
  return fault("invalid", "The body ended before its declared length", {
    outcome: "not run",
  });
}

/** Writes a reply. The connection is closed after a body that was not read to its end. */
export function writeReply(
  request: IncomingMessage,
  response: ServerResponse,
  reply: HttpReply,
): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  if (!request.complete) {
    response.setHeader("connection", "close");
  }
  response.writeHead(reply.status, reply.headers);
  response.end(request.method === "HEAD" ? undefined : reply.body);
}
