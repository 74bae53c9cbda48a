/**
 * Sends requests to targets and buffers their answers.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import {
  type Announcement,
  type CallerMemory,
  Err,
  type Fault,
  fault,
  Ok,
  type Result,
  type Settings,
} from "@quetzalcove/core";
import { type Dispatcher, Pool } from "undici";
import { BodyBuffer } from "../callers/body_buffer.ts";
import type { Component } from "../lifecycle.ts";
import { endToEndHeaders } from "./headers.ts";

/** A request as sent to a target. */
export interface OutgoingRequest {
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  maxAnswerBytes: number;
  /** Aborts the request; its connection is closed and not reused. */
  signal: AbortSignal;
  /** Called right before the first byte is sent; on a fault the request is not sent. */
  mayStart: () => Result<void, Fault>;
}

/** A complete answer of a target. */
export interface BufferedAnswer {
  status: number;
  headers: Record<string, string | string[]>;
  body: Buffer;
  /** False for answers that have no body whatever their content length, such as those to HEAD. */
  hasBody: boolean;
}

/** An attempt without an answer. `sent` is false only if it is certain that no byte was sent. */
export interface AttemptFailure {
  sent: boolean;
  fault: Fault;
}

interface Upstream {
  pool: Pool;
  address: string;
}

export class Forwarder implements Component {
  readonly name = "forwarder";
  readonly #settings: Settings["forward"];
  readonly #memory: CallerMemory;
  readonly #upstreams = new Map<string, Upstream>();

  /** Answers count toward the memory for callers while they arrive. */
  constructor(settings: Settings["forward"], memory: CallerMemory) {
    this.#settings = settings;
    this.#memory = memory;
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  async stop(): Promise<void> {
    const closing = [...this.#upstreams.values()].map(({ pool }) =>
      pool.destroy()
    );
    this.#upstreams.clear();
    await Promise.all(closing);
  }

  /** Closes connections to targets that are not listed, once their requests have ended. */
  retain(targets: readonly Announcement[]): void {
    const present = new Set(targets.map((target) => target.target));
    for (const [target, { pool }] of this.#upstreams) {
      if (!present.has(target)) {
        this.#upstreams.delete(target);
        void pool.close();
      }
    }
  }

  /** Sends a request once, and never retries it. */
  send(
    target: Announcement,
    request: OutgoingRequest,
  ): Promise<Result<BufferedAnswer, AttemptFailure>> {
    const pool = this.#poolOf(target);
    return new Promise((resolve) => {
      pool.dispatch(
        {
          origin: `http://${target.address}`,
          path: request.path,
          method: request.method as Dispatcher.HttpMethod,
          headers: request.headers,
          body: request.body.length === 0 ? null : request.body,
          idempotent: false,
        },
        new AnswerReader(request, this.#memory, resolve),
      );
    });
  }

  #poolOf(target: Announcement): Pool {
    const known = this.#upstreams.get(target.target);
    if (known !== undefined && known.address === target.address) {
      return known.pool;
    }
    void known?.pool.close();
    const pool = new Pool(`http://${target.address}`, {
      connections: target.connections,
      pipelining: 1,
      connectTimeout: this.#settings.connectTimeoutMs,
      keepAliveTimeout: this.#settings.keepAliveMs,
      keepAliveMaxTimeout: this.#settings.keepAliveMs,
      // The request's signal enforces its time limit, so undici's own timeouts are off.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#upstreams.set(target.target, { pool, address: target.address });
    return pool;
  }
}

/** Buffers one answer and settles exactly once. */
class AnswerReader implements Dispatcher.DispatchHandler {
  readonly #request: OutgoingRequest;
  readonly #settle: (result: Result<BufferedAnswer, AttemptFailure>) => void;
  readonly #memory: CallerMemory;
  readonly #body = new BodyBuffer();
  #status = 0;
  #headers: IncomingHttpHeaders = {};
  #sent = false;
  #settled = false;
  #controller: Dispatcher.DispatchController | undefined;
  readonly #onAbort = (): void =>
    this.#fail(fault("timeout", "The target gave no answer in time"));

  constructor(
    request: OutgoingRequest,
    memory: CallerMemory,
    settle: (result: Result<BufferedAnswer, AttemptFailure>) => void,
  ) {
    this.#request = request;
    this.#memory = memory;
    this.#settle = settle;
    request.signal.addEventListener("abort", this.#onAbort, { once: true });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#settled) {
      controller.abort(new Error("Request has ended"));
      return;
    }
    const allowed = this.#request.mayStart();
    if (allowed.err) {
      this.#fail(allowed.val);
      return;
    }
    this.#sent = true;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < 200) {
      return;
    }
    this.#status = status;
    this.#headers = headers;
    const declared = Number(headers["content-length"] ?? 0);
    if (
      declared > this.#request.maxAnswerBytes && this.#request.method !== "HEAD"
    ) {
      this.#failTooLarge();
    } else if (this.#hasBody() && !hasDeclaredEnd(headers)) {
      this.#fail(
        fault(
          "broken_answer",
          "The answer of the target does not declare its end",
        ),
      );
    }
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#settled) {
      return;
    }
    if (this.#body.length + chunk.length > this.#request.maxAnswerBytes) {
      this.#failTooLarge();
      return;
    }
    const before = this.#body.capacity;
    this.#body.append(chunk);
    const more = this.#body.capacity - before;
    if (!this.#memory.hasRoom(more, performance.now(), before)) {
      this.#body.clear();
      this.#memory.addPinned(-before);
      this.#fail(
        fault(
          "broken_answer",
          "Requests take all the memory that the answer of the target needs",
        ),
      );
      return;
    }
    this.#memory.addPinned(more);
  }

  onResponseEnd(): void {
    this.#end(Ok({
      status: this.#status,
      headers: this.#answerHeaders(),
      body: this.#takeBody(),
      hasBody: this.#hasBody(),
    }));
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const kind = this.#status > 0 ? "broken_answer" : "target_lost";
    this.#fail(
      fault(kind, `The target gave no whole answer: ${error.message}`),
    );
  }

  #takeBody(): Buffer {
    this.#memory.addPinned(-this.#body.capacity);
    return this.#body.take();
  }

  #answerHeaders(): Record<string, string | string[]> {
    const headers = endToEndHeaders(this.#headers);
    const declared = this.#headers["content-length"];
    if (!this.#hasBody() && declared !== undefined && this.#status !== 204) {
      headers["content-length"] = declared;
    }
    return headers;
  }

  #hasBody(): boolean {
    return this.#request.method !== "HEAD" && this.#status !== 204 &&
      this.#status !== 304;
  }

  #failTooLarge(): void {
    const limit = this.#request.maxAnswerBytes;
    this.#fail(
      fault(
        "broken_answer",
        `The answer of the target is longer than ${limit} bytes`,
      ),
    );
  }

  #fail(cause: Fault): void {
    this.#end(Err({ sent: this.#sent, fault: cause }));
    this.#controller?.abort(new Error(cause.message));
  }

  #end(result: Result<BufferedAnswer, AttemptFailure>): void {
    if (!this.#settled) {
      this.#settled = true;
      this.#memory.addPinned(-this.#body.capacity);
      this.#body.clear();
      this.#request.signal.removeEventListener("abort", this.#onAbort);
      this.#settle(result);
    }
  }
}

function hasDeclaredEnd(headers: IncomingHttpHeaders): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}
