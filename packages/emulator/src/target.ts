/**
 * An emulated target: an HTTP server with a limited number of slots that records every run.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import process from "node:process";
import type { Announcement } from "@quetzalcove/core";
import {
  type Behaviour,
  BEHAVIOUR_HEADER,
  requestedBehaviour,
} from "./behaviour.ts";
import { listenAt } from "./listen.ts";

/** One run of a request at a target. */
export interface Run {
  target: string;
  vm: string;
  service: string;
  method: string;
  path: string;
  /** Idempotency key. */
  key: string | undefined;
  digest: string;
  /** Wall-clock time in milliseconds. */
  at: number;
}

/** Options of an emulated target. */
export interface TargetOptions {
  announcement: Announcement;
  defaultBehaviour: Behaviour;
  /** Called when a run takes effect. */
  record: (run: Run) => void;
}

const OUTCOME_HEADER = "x-quetzalcove-outcome";
export const DIGEST_HEADER = "x-request-digest";

/** SHA-256 digest of a request, in hex. The answer contains it, so that a caller can match answer and request. */
export function digestOf(path: string, body: Buffer): string {
  return createHash("sha256").update(`${path}\n`).update(body).digest("hex");
}

export class Target {
  readonly #options: TargetOptions;
  readonly #server: Server;
  #activeRequests = 0;
  #maxActiveRequests = 0;

  constructor(options: TargetOptions) {
    this.#options = options;
    this.#server = createServer((request, response) =>
      void this.#serve(request, response)
    );
    this.#server.maxConnections = options.announcement.connections;
  }

  get announcement(): Announcement {
    return this.#options.announcement;
  }

  /** Number of requests in progress. */
  get activeRequests(): number {
    return this.#activeRequests;
  }

  /** Highest number of requests in progress so far. */
  get maxActiveRequests(): number {
    return this.#maxActiveRequests;
  }

  start(): Promise<void> {
    return listenAt(this.#server, this.#options.announcement.address);
  }

  /** Closes the server to new connections; resolves once the requests in progress have ended. */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  /** Closes all connections immediately, as a crash does. */
  kill(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    if (body === undefined) {
      return;
    }
    if (this.#activeRequests >= this.#options.announcement.slots) {
      response.writeHead(503, {
        [OUTCOME_HEADER]: "not run",
        "content-length": "0",
      }).end();
      return;
    }
    const behaviour = requestedBehaviour(
      request.headers[BEHAVIOUR_HEADER],
      this.#options.defaultBehaviour,
    );
    this.#activeRequests += 1;
    this.#maxActiveRequests = Math.max(
      this.#maxActiveRequests,
      this.#activeRequests,
    );
    await this.#run(request, body, behaviour);
    this.#activeRequests -= 1;
    this.#answer(response, behaviour, digestOf(request.url ?? "/", body));
  }

  async #run(
    request: IncomingMessage,
    body: Buffer,
    behaviour: Behaviour,
  ): Promise<void> {
    if (behaviour.failure === "crash before") {
      process.kill(process.pid, "SIGKILL");
    }
    this.#record(request, body);
    await new Promise((resolve) => setTimeout(resolve, behaviour.runMs));
    if (behaviour.failure === "crash after") {
      process.kill(process.pid, "SIGKILL");
    }
  }

  #record(request: IncomingMessage, body: Buffer): void {
    const { target, vm, service } = this.#options.announcement;
    const key = request.headers["idempotency-key"];
    this.#options.record({
      target,
      vm,
      service,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      key: typeof key === "string" ? key : undefined,
      digest: digestOf(request.url ?? "/", body),
      at: Date.now(),
    });
  }

  #answer(
    response: ServerResponse,
    behaviour: Behaviour,
    digest: string,
  ): void {
    const { target, vm } = this.#options.announcement;
    const body = Buffer.from(JSON.stringify({
      target,
      vm,
      digest,
      padding: "x".repeat(behaviour.padding),
    }));
    const headers = {
      "content-type": "application/json",
      [DIGEST_HEADER]: digest,
    };
    switch (behaviour.failure) {
      case "silent":
        return;
      case "short":
        response.writeHead(200, {
          ...headers,
          "content-length": String(body.length + 100),
        });
        response.write(body, () => response.destroy());
        return;
      case "undeclared":
        response.socket?.end(
          `HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${body.toString()}`,
        );
        return;
      default:
        response.writeHead(behaviour.status, {
          ...headers,
          "content-length": String(body.length),
        });
        response.end(body);
    }
  }
}

function readBody(request: IncomingMessage): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => resolve(Buffer.concat(chunks)));
    request.on("close", () => resolve(undefined));
  });
}
