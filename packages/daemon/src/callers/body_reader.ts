/**
 * Reads the body of a request. What has arrived counts toward the memory that callers may take.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Err, type Fault, fault, Ok, type Result } from "@quetzalcove/core";
import { BodyBuffer } from "./body_buffer.ts";
import { CallerConnection, overloadedFault } from "./caller_connection.ts";

/** Which bodies are read. */
export interface BodyOptions {
  maxBytes: number;
  /** Memory that a whole body takes until it is answered, as a multiple of its length; 1 for its bytes alone. */
  memoryFactor?: number;
}

/** Reads a whole body; fails if it is longer than `maxBytes`, truncated, or too large for the memory that is left. */
export function readBody(
  request: IncomingMessage,
  { maxBytes, memoryFactor = 1 }: BodyOptions,
): Promise<Result<Buffer, Fault>> {
  const declared = Number(request.headers["content-length"] ?? NaN);
  if (declared > maxBytes) {
    return Promise.resolve(Err(tooLargeFault(maxBytes)));
  }
  return new Promise((resolve) => {
    new BodyReader({ request, declared, maxBytes, memoryFactor }, resolve);
  });
}

interface BodyReaderParts extends Required<BodyOptions> {
  request: IncomingMessage;
  /** Declared length; not a number if there is none. */
  declared: number;
}

class BodyReader {
  readonly #parts: BodyReaderParts;
  readonly #connection: CallerConnection | undefined;
  readonly #settle: (result: Result<Buffer, Fault>) => void;
  readonly #body = new BodyBuffer();
  #isSettled = false;

  constructor(
    parts: BodyReaderParts,
    settle: (result: Result<Buffer, Fault>) => void,
  ) {
    const { request } = parts;
    this.#parts = parts;
    this.#settle = settle;
    const { socket } = request;
    this.#connection = socket instanceof CallerConnection ? socket : undefined;
    this.#connection?.startBody((cause) => this.#fail(cause));
    request.on("data", (chunk: Buffer) => this.#receive(chunk));
    request.on("end", () => this.#finish());
    // Every request ends with `close`; the fault is built only if needed, because its stack trace is expensive.
    const onClose = (): void => {
      if (!request.complete) {
        this.#fail(truncatedFault());
      }
    };
    request.on("close", onClose);
    request.on("error", onClose);
  }

  #receive(chunk: Buffer): void {
    if (this.#isSettled) {
      return;
    }
    const { maxBytes, declared } = this.#parts;
    if (this.#body.length + chunk.length > maxBytes) {
      this.#fail(tooLargeFault(maxBytes));
      return;
    }
    const before = this.#body.capacity;
    this.#body.append(chunk, declared > 0 ? declared : undefined);
    if (this.#body.capacity !== before) {
      this.#connection?.holdBody(this.#body.capacity - before);
    }
  }

  #finish(): void {
    if (this.#isSettled) {
      return;
    }
    const bytes = this.#body.length * this.#parts.memoryFactor;
    if (this.#connection?.endBody(this.#body.capacity, bytes) === false) {
      this.#end(Err(overloadedFault()));
    } else {
      this.#end(Ok(this.#body.take()));
    }
  }

  #fail(cause: Fault): void {
    if (!this.#isSettled) {
      this.#connection?.abandonBody(this.#body.capacity);
      this.#end(Err(cause));
    }
  }

  #end(result: Result<Buffer, Fault>): void {
    this.#isSettled = true;
    this.#body.clear();
    this.#settle(result);
  }
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
