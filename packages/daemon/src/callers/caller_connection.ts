/**
 * A connection of a caller, between its socket and the HTTP parser.
 *
 * The parser turns what it is given into requests at once, and each request costs many times its bytes. So it is given a
 * small slice at a time, and none while the requests or answers of the connection take too much. What was received and
 * not parsed, parts of headers, bodies and unread answers are counted in the account of the connection.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  type IncomingMessage,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import {
  type CallerAccount,
  type CallerMemory,
  type Fault,
  fault,
  REQUEST_BYTES,
} from "@quetzalcove/core";
import type { ParseTurns, Parsing } from "./parse_turns.ts";
import { RequestHold } from "./request_hold.ts";

/** Why a request was refused, or a connection closed, before a handler has answered. */
export type ShedReason =
  | "memory"
  | "connections"
  | "header_timeout"
  | "body_timeout"
  | "unread_answer"
  | "malformed"
  | "no_host"
  | "expectation";

/** Deadlines of a connection, in milliseconds. */
export interface ConnectionTimeouts {
  headersTimeoutMs: number;
  requestTimeoutMs: number;
  keepAliveMs: number;
  answerTimeoutMs: number;
}

/** Dependencies of a connection. */
export interface CallerConnectionParts {
  socket: Socket;
  memory: CallerMemory;
  turns: ParseTurns;
  timeouts: ConnectionTimeouts;
  /** Monotonic time in milliseconds. */
  now: () => number;
  /** Called when a request is refused, or the connection is closed, for a reason of this module. */
  onShed: (reason: ShedReason) => void;
}

/** Bytes that are parsed at once, except the rest of a body whose length is known. */
const SLICE_BYTES = 512;

/** Requests of one connection in progress from which no more are parsed. */
const MAX_PIPELINED = 16;

/** Bytes of answers that were not read from which no more requests are parsed. */
const MAX_UNREAD_ANSWER_BYTES = 262_144;

/** Bytes that wait in a socket that is not read: the system's smallest buffer, and what was read when reading stopped. */
const SOCKET_BUFFER_BYTES = 131_072;

/** Memory of a part of a header, as a multiple of its bytes: as received, as text and in the parser. */
const HEADER_MEMORY_FACTOR = 3;

/** After an answer to a request that was not read whole, so much is read and dropped, so that the answer arrives. */
const MAX_DROPPED_BYTES = 4_194_304;
const MAX_DROP_MS = 2_000;

const RETRY_AFTER_MS = 1_000;

/** Fault for a request for which there is no memory now. */
export function overloadedFault(): Fault {
  return fault("overloaded", "Requests take all the memory for callers here", {
    outcome: "not run",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

export class CallerConnection extends Duplex implements Parsing {
  readonly #parts: CallerConnectionParts;
  readonly #account: CallerAccount;
  /** Received and not parsed. */
  #unparsed: Buffer | undefined;
  /** Bytes of `#unparsed` that are counted. */
  #unparsedHeld = 0;
  #headHeld = 0;
  #headSince = 0;
  #requests = 0;
  /** Requests in progress. */
  readonly #holds = new Map<ServerResponse, RequestHold>();
  /** Requests that have ended since the connection was closed. */
  readonly #endedHolds: RequestHold[] = [];
  /** That of the request that was parsed last. */
  #hold: RequestHold | undefined;
  #answerBytes = 0;
  /** The request that was parsed last. */
  #request: IncomingMessage | undefined;
  #requestSince = 0;
  /** Bytes of its body that were given to the parser, apart from those that came with the header. */
  #bodyGiven = 0;
  #failBody: ((cause: Fault) => void) | undefined;
  #hasEnded = false;
  #droppingSince: number | undefined;
  #droppedBytes = 0;
  #writtenBytes = 0;
  #writtenAt = 0;

  constructor(parts: CallerConnectionParts) {
    super({ allowHalfOpen: true });
    this.#parts = parts;
    const { socket, memory, now } = parts;
    this.#account = memory.open(() => this.#reclaim(), now());
    if (memory.isFull) {
      memory.makeRoom(now());
    }
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    socket.on("end", () => this.#endReading());
    socket.on("error", () => this.destroy());
    socket.on("close", () => this.destroy());
    this.on("resume", () => this.#continue());
  }

  /** Whether no request is in progress or arriving. */
  get isIdle(): boolean {
    return this.#holds.size === 0 && this.#headHeld === 0 &&
      this.#unparsed === undefined;
  }

  /** What the connection holds. */
  get account(): CallerAccount {
    return this.#account;
  }

  /** Called with each request that was parsed. Undefined if the connection is closed. */
  startRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): RequestHold | undefined {
    if (this.destroyed) {
      return undefined;
    }
    const now = this.#parts.now();
    this.#freeHead(now);
    this.#request = request;
    this.#requestSince = now;
    this.#bodyGiven = 0;
    this.#requests += 1;
    const hasRoom = this.#parts.memory.hasRoom(REQUEST_BYTES, now);
    if (!hasRoom && this.#holds.size > 0) {
      // Answers to requests that were sent ahead would take memory too.
      this.#shed("memory");
      this.destroy();
      return undefined;
    }
    const hold = new RequestHold(
      response,
      hasRoom,
      () => this.#endRequest(response, hold),
    );
    hold.add(this.#account.pin(REQUEST_BYTES));
    this.#holds.set(response, hold);
    this.#hold = hold;
    response.once("close", () => hold.endAnswer());
    return hold;
  }

  /** Counts an answer until it is written. */
  holdAnswer(response: ServerResponse, bytes: number): void {
    this.#answerBytes += bytes;
    this.#account.hold(bytes, this.#parts.now());
    this.#holds.get(response)?.add(() => {
      this.#answerBytes -= bytes;
      this.#account.free(bytes, this.#parts.now());
    });
  }

  /** Closes the connection after the answers to the requests in progress. */
  closeAfterAnswers(): void {
    this.#holds.forEach((hold) => hold.closeAfterAnswer());
  }

  /** Called when the body of the last request is read; `fail` ends that. */
  startBody(fail: (cause: Fault) => void): void {
    this.#failBody = fail;
  }

  /** Counts what a body takes more than before. */
  holdBody(bytes: number): void {
    this.#account.hold(bytes, this.#parts.now());
  }

  /** Called when a body is whole: counts its memory until the request has ended. Returns false if there is none. */
  endBody(held: number, bytes: number): boolean {
    const now = this.#parts.now();
    this.#failBody = undefined;
    this.#account.free(held, now);
    if (!this.#parts.memory.hasRoom(bytes, now)) {
      this.#parts.onShed("memory");
      return false;
    }
    this.#hold?.add(this.#account.pin(bytes));
    return true;
  }

  /** Called when a body is given up. */
  abandonBody(held: number): void {
    this.#failBody = undefined;
    this.#account.free(held, this.#parts.now());
  }

  /** Parses one slice; returns whether there is more to parse now. */
  parseSlice(): boolean {
    const unparsed = this.#unparsed;
    if (unparsed === undefined || !this.#mayParse()) {
      return false;
    }
    const size = this.#sliceBytes();
    const rest = unparsed.length > size ? unparsed.subarray(size) : undefined;
    this.#unparsed = rest;
    this.#give(rest === undefined ? unparsed : unparsed.subarray(0, size));
    if (this.#unparsed === undefined) {
      this.#freeUnparsed();
      this.#readOn();
    }
    return this.#unparsed !== undefined && this.#mayParse();
  }

  /** Closes what has taken too long. */
  checkTimeouts(now: number): void {
    const { headersTimeoutMs, requestTimeoutMs, keepAliveMs } =
      this.#parts.timeouts;
    if (this.#droppingSince !== undefined) {
      if (now - this.#droppingSince > MAX_DROP_MS) {
        this.destroy();
      }
    } else if (this.#isAnswerStuck(now)) {
      this.#shed("unread_answer");
      this.destroy();
    } else if (this.#headHeld > 0 && now - this.#headSince > headersTimeoutMs) {
      this.refuse(408, "header_timeout");
    } else if (
      this.#isBodyOpen && now - this.#requestSince > requestTimeoutMs
    ) {
      this.#timeOutBody();
    } else if (
      this.isIdle && now - this.#account.since > keepAliveMs
    ) {
      this.destroy();
    }
  }

  /** Answers what is no valid request, and closes the connection. */
  refuse(status: number, reason: ShedReason): void {
    this.#shed(reason);
    if (this.#holds.size > 0 || !this.writable) {
      this.destroy();
      return;
    }
    const retryAfter = status === 503
      ? `retry-after: ${RETRY_AFTER_MS / 1_000}\r\n`
      : "";
    this.write(
      `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${retryAfter}` +
        "content-length: 0\r\nconnection: close\r\n\r\n",
    );
    this.#startDropping();
    this.end();
  }

  override _read(): void {
    // Slices are pushed in turn.
  }

  override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this.#parts.socket.write(chunk, encoding, callback);
  }

  override _writev(
    chunks: { chunk: Buffer | string; encoding: BufferEncoding }[],
    callback: (error?: Error | null) => void,
  ): void {
    const { socket } = this.#parts;
    const last = chunks.length - 1;
    socket.cork();
    chunks.forEach(({ chunk, encoding }, i) =>
      socket.write(chunk, encoding, i === last ? callback : undefined)
    );
    socket.uncork();
  }

  /** Ends the connection after the last answer. What is still arriving is dropped for a while: a reset could overtake it. */
  override _final(callback: (error?: Error | null) => void): void {
    const isWhole = this.#unparsed === undefined && !this.#isBodyOpen &&
      this.#droppingSince === undefined;
    if (!isWhole) {
      this.#startDropping();
    }
    this.#parts.socket.end(() => {
      if (isWhole) {
        this.destroy();
      }
    });
    callback();
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    const { socket, turns, now } = this.#parts;
    turns.remove(this);
    this.#unparsed = undefined;
    // Handlers refer to the connection for as long as they run, and with it to what the socket has read.
    socket.removeAllListeners("data");
    socket.read();
    socket.destroy();
    this.#account.close(now());
    // Answers that wait behind others get no event of their own when the connection closes.
    this.#holds.forEach((hold) => hold.endAnswer());
    callback(error);
  }

  #endRequest(response: ServerResponse, hold: RequestHold): void {
    this.#holds.delete(response);
    if (this.destroyed) {
      this.#endRequestOfClosed(hold);
    } else {
      hold.release();
      this.#account.touch(this.#parts.now());
      this.#continue();
    }
  }

  /** The requests of a closed connection refer to each other, so their memory is given back together. */
  #endRequestOfClosed(hold: RequestHold): void {
    this.#endedHolds.push(hold);
    if (this.#holds.size === 0) {
      this.#endedHolds.forEach((ended) => ended.release());
      this.#endedHolds.length = 0;
    }
  }

  get #isBodyOpen(): boolean {
    return this.#request !== undefined && !this.#request.complete;
  }

  #receive(chunk: Buffer): void {
    if (this.#droppingSince !== undefined) {
      this.#droppedBytes += chunk.length;
      if (this.#droppedBytes > MAX_DROPPED_BYTES) {
        this.destroy();
      }
      return;
    }
    this.#unparsed = this.#unparsed === undefined
      ? chunk
      : Buffer.concat([this.#unparsed, chunk]);
    let mayGoOn = this.parseSlice();
    // The rest of a body whose length is known makes no further requests.
    while (mayGoOn && this.#sliceBytes() > SLICE_BYTES) {
      mayGoOn = this.parseSlice();
    }
    if (this.#unparsed !== undefined) {
      this.#waitForTurn();
    }
  }

  /** Gives bytes to the parser; those that complete no header are counted. */
  #give(slice: Buffer): void {
    const { now } = this.#parts;
    const before = this.#requests;
    const isBody = this.#isBodyOpen;
    this.#bodyGiven += isBody ? slice.length : 0;
    this.push(slice);
    const isPartOfHead = !isBody && this.#requests === before;
    if (isPartOfHead && !this.destroyed && this.#droppingSince === undefined) {
      if (this.#headHeld === 0) {
        this.#headSince = now();
      }
      const bytes = slice.length * HEADER_MEMORY_FACTOR;
      this.#headHeld += bytes;
      this.#account.hold(bytes, now());
    }
  }

  /** Length of the next slice: the rest of the body if it is known, which a slice exceeds by less than its own length. */
  #sliceBytes(): number {
    const declared = this.#isBodyOpen
      ? Number(this.#request?.headers["content-length"] ?? 0)
      : 0;
    return Math.max(SLICE_BYTES, declared - this.#bodyGiven);
  }

  #mayParse(): boolean {
    return !this.destroyed && !this.isPaused() &&
      (this.#isBodyOpen || this.#holds.size < MAX_PIPELINED) &&
      this.#answerBytes < MAX_UNREAD_ANSWER_BYTES;
  }

  /** Stops reading, and parses the rest when it is its turn. */
  #waitForTurn(): void {
    const { socket, turns, now } = this.#parts;
    socket.pause();
    const bytes = (this.#unparsed?.length ?? 0) + SOCKET_BUFFER_BYTES;
    const more = bytes - this.#unparsedHeld;
    this.#unparsedHeld = bytes;
    this.#account.hold(more, now());
    if (!this.destroyed) {
      turns.add(this);
    }
  }

  /** Parses on, if there is something and nothing prevents it. */
  #continue(): void {
    if (this.#unparsed !== undefined && this.#mayParse()) {
      this.#parts.turns.add(this);
    }
  }

  #readOn(): void {
    if (this.#hasEnded) {
      this.push(null);
    } else {
      this.#parts.socket.resume();
    }
  }

  #endReading(): void {
    this.#hasEnded = true;
    if (this.#droppingSince !== undefined) {
      this.destroy();
    } else if (this.#unparsed === undefined) {
      this.push(null);
    }
  }

  #startDropping(): void {
    this.#droppingSince = this.#parts.now();
    this.#parts.turns.remove(this);
    this.#unparsed = undefined;
    this.#freeUnparsed();
    this.#freeHead(this.#droppingSince);
    this.#parts.socket.resume();
    if (this.#hasEnded) {
      this.#parts.socket.once("finish", () => this.destroy());
    }
  }

  #freeUnparsed(): void {
    if (this.#unparsedHeld > 0) {
      this.#account.free(this.#unparsedHeld, this.#parts.now());
      this.#unparsedHeld = 0;
    }
  }

  #freeHead(now: number): void {
    if (this.#headHeld > 0) {
      this.#account.free(this.#headHeld, now);
      this.#headHeld = 0;
    }
  }

  #isAnswerStuck(now: number): boolean {
    const { socket, timeouts } = this.#parts;
    const written = socket.bytesWritten - socket.writableLength;
    if (socket.writableLength === 0 || written !== this.#writtenBytes) {
      this.#writtenBytes = written;
      this.#writtenAt = now;
      return false;
    }
    return now - this.#writtenAt > timeouts.answerTimeoutMs;
  }

  #timeOutBody(): void {
    this.#shed("body_timeout");
    if (this.#failBody === undefined) {
      this.destroy();
    } else {
      this.#hold?.closeAfterAnswer();
      this.#failBody(
        fault("incomplete", "The request did not arrive whole in time", {
          outcome: "not run",
        }),
      );
    }
  }

  /** Gives back what the connection holds. Requests in progress go on; one that is arriving is refused. */
  #reclaim(): void {
    if (this.#droppingSince === undefined && this.#failBody !== undefined) {
      this.#shed("memory");
      this.#hold?.closeAfterAnswer();
      this.#failBody(overloadedFault());
    } else if (this.#droppingSince === undefined && this.#headHeld > 0) {
      this.refuse(503, "memory");
    } else {
      this.#shed("memory");
      this.destroy();
    }
  }

  #shed(reason: ShedReason): void {
    this.#parts.onShed(reason);
  }
}
