/**
 * An HTTP server with limits on its callers and a graceful stop.
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

export type RequestListener = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Dependencies of an HTTP server. */
export interface HttpServerParts {
  name: string;
  address: Address;
  limits: Omit<Settings["limits"], "maxAdminBytes">;
  listener: RequestListener;
}

/** Time after which connections that are still open during a stop are closed. */
const CLOSE_TIMEOUT_MS = 5_000;

export class HttpServer implements Component {
  readonly name: string;
  readonly #parts: HttpServerParts;
  readonly #server: Server;
  /** Responses that are not completely written yet. */
  readonly #openResponses = new Set<ServerResponse>();
  #stopping = false;

  constructor(parts: HttpServerParts) {
    const { limits } = parts;
    this.name = parts.name;
    this.#parts = parts;
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
      this.#server.listen(hostAndPort(this.#parts.address), resolve);
    });
  }

  /** Accepts no more connections and waits until all responses are written; each response closes its connection. */
  async stop(): Promise<void> {
    this.#stopping = true;
    this.#openResponses.forEach((response) => closeAfterResponse(response));
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeIdleConnections();
    const timeout = setTimeout(() => this.abort(), CLOSE_TIMEOUT_MS);
    await closed;
    clearTimeout(timeout);
  }

  /** Closes all connections. */
  abort(): void {
    this.#server.closeAllConnections();
  }

  /** Serves a request. During a stop the response closes the connection, which a caller could keep busy forever. */
  #serve(request: IncomingMessage, response: ServerResponse): void {
    this.#openResponses.add(response);
    response.once("close", () => this.#openResponses.delete(response));
    if (this.#stopping) {
      closeAfterResponse(response);
    }
    this.#parts.listener(request, response);
  }
}

function closeAfterResponse(response: ServerResponse): void {
  if (!response.headersSent) {
    response.setHeader("connection", "close");
  }
}

/** Reads a whole body; fails if it is longer than `maxBytes` or truncated. */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, Fault>> {
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > maxBytes) {
    return Promise.resolve(Err(tooLargeFault(maxBytes)));
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        resolve(Err(tooLargeFault(maxBytes)));
        request.pause();
      } else {
        chunks.push(chunk);
      }
    });
    request.on("end", () => resolve(Ok(Buffer.concat(chunks))));
    // Every request ends with `close`; the fault is built only if needed, because its stack trace is expensive.
    const onClose = (): void => {
      if (!request.complete) {
        resolve(Err(truncatedFault()));
      }
    };
    request.on("close", onClose);
    request.on("error", onClose);
  });
}

function tooLargeFault(maxBytes: number): Fault {
  return fault("too_large", `The body is longer than ${maxBytes} bytes`, {
    outcome: "not run",
  });
}

function truncatedFault(): Fault {
  return fault("invalid", "The body ended before its declared length", {
    outcome: "not run",
  });
}

/** Writes a reply, and closes the connection if the request body was not completely read. */
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
