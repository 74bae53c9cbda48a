/**
 * The bytes of a body or message as they arrive, in one buffer: a chunk costs what it holds, however small it is.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** Smallest allocation in bytes. */
const MIN_CAPACITY = 1_024;

const GROWTH_FACTOR = 2;

export class BodyBuffer {
  #buffer: Buffer = Buffer.alloc(0);
  #length = 0;
  /** Bytes that the buffer keeps in memory beside its own. */
  #excess = 0;

  /** Number of bytes received. */
  get length(): number {
    return this.#length;
  }

  /** Number of bytes allocated. */
  get capacity(): number {
    return this.#buffer.length + this.#excess;
  }

  /** Adds a chunk; `expected` is the length of the whole, if it is known. */
  append(chunk: Buffer, expected = Infinity): void {
    const needed = this.#length + chunk.length;
    if (this.#length === 0 && isMostOfItsMemory(chunk)) {
      this.#buffer = chunk;
      this.#excess = chunk.buffer.byteLength - chunk.length;
    } else {
      this.#reserve(needed, expected);
      chunk.copy(this.#buffer, this.#length);
    }
    this.#length = needed;
  }

  /** Returns all bytes received, and starts anew. */
  take(): Buffer {
    const bytes = this.#buffer.subarray(0, this.#length);
    this.clear();
    return bytes;
  }

  clear(): void {
    this.#buffer = Buffer.alloc(0);
    this.#length = 0;
    this.#excess = 0;
  }

  /** Grows by a factor, but not beyond the expected length. */
  #reserve(needed: number, expected: number): void {
    if (needed <= this.#buffer.length) {
      return;
    }
    const grown = Math.max(
      MIN_CAPACITY,
      needed,
      this.#buffer.length * GROWTH_FACTOR,
    );
    const larger = Buffer.allocUnsafeSlow(
      Math.max(needed, Math.min(grown, expected)),
    );
    this.#buffer.copy(larger, 0, 0, this.#length);
    this.#buffer = larger;
    this.#excess = 0;
  }
}

/** Whether a chunk can be kept without a copy: it refers to all that was read together with it. */
function isMostOfItsMemory({ buffer, length }: Buffer): boolean {
  return buffer.byteLength <= MIN_CAPACITY + GROWTH_FACTOR * length;
}
