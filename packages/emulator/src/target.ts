/**
 * An emulated target: an HTTP server with a bound on its slots, which records every run.
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
import { type Behaviour, BEHAVIOUR_HEADER, behaviourOf } from "./behaviour.ts";
import { listenAt } from "./listen.ts";

/** One run of a request at a target. */
export interface Run {
  target: string;
  vm: string;
  service: string;
  method: string;
  path: string;
  key: string | undefined;
  digest: string;
  at: number;
}

/** What an emulated target is built with. */
export interface TargetSetup {
  announcement: Announcement;
  usual: Behaviour;
  /** Records a run at the moment it takes effect. */
  record: (run: Run) => void;
}

const OUTCOME_HEADER = "x-quetzalcove-outcome";
export const DIGEST_HEADER = "x-request-digest";

/** Digest of a request, by which a caller knows its own answer. */
export function digestOf(path: string, body: Buffer): string {
  return createHash("sha256").update(`${path}\n`).update(body).digest("hex");
}

export class Target {
  readonly #setup: TargetSetup;
  readonly #server: Server;
  #atWork = 0;
  #mostAtWork = 0;

  constructor(setup: TargetSetup) {
    this.#setup = setup;
    this.#server = createServer((request, response) =>
      void this.#serve(request, response)
    );
    this.#server.maxConnections = setup.announcement.connections;
  }

  get announcement(): Announcement {
    return this.#setup.announcement;
  }

  /** Requests at work now. */
  get atWork(): number {
    return this.#atWork;
  }

  /** The most requests that were at work at once. */
  get mostAtWork(): number {
    return this.#mostAtWork;
  }

  start(): Promise<void> {
    return listenAt(this.#server, this.#setup.announcement.address);
  }

  /** Accepts nothing more and waits for the requests at work. */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  /** Ends at once, as a crash does. */
  kill(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await read(request);
    if (body === undefined) {
      return;
    }
    if (this.#atWork >= this.#setup.announcement.slots) {
      response.writeHead(503, {
        [OUTCOME_HEADER]: "not run",
        "content-length": "0",
      }).end();
      return;
    }
    const behaviour = behaviourOf(
      request.headers[BEHAVIOUR_HEADER],
      this.#setup.usual,
    );
    this.#atWork += 1;
    this.#mostAtWork = Math.max(this.#mostAtWork, this.#atWork);
    await this.#run(request, body, behaviour);
    this.#atWork -= 1;
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
    const { target, vm, service } = this.#setup.announcement;
    const key = request.headers["idempotency-key"];
    this.#setup.record({
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
    const { target, vm } = this.#setup.announcement;
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

function read(request: IncomingMessage): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => resolve(Buffer.concat(chunks)));
    request.on("close", () => resolve(undefined));
  });
}
