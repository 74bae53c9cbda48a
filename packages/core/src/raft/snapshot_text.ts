/**
 * The text of a snapshot, which may be too large to be in memory as a whole.
 *
 * @module
 */

/** A text that is read in parts; a string qualifies. Positions are UTF-16 code units. */
export interface SnapshotText {
  readonly length: number;
  slice(start: number, end: number): string;
}

/** Length of the parts in which a text is read. */
const PART_LENGTH = 65_536;

/** The whole text. */
export function textOf(text: SnapshotText): string {
  return text.slice(0, text.length);
}

/** The text in parts of a bounded length. */
export function* partsOf(text: SnapshotText): Generator<string> {
  for (let start = 0; start < text.length; start += PART_LENGTH) {
    yield text.slice(start, Math.min(text.length, start + PART_LENGTH));
  }
}

/** The lines of a text, without their ends. */
export function* linesOf(text: SnapshotText): Generator<string> {
  let parts: string[] = [];
  for (const part of partsOf(text)) {
    const [first = "", ...others] = part.split("\n");
    parts.push(first);
    for (const other of others) {
      yield parts.join("");
      parts = [other];
    }
  }
  const last = parts.join("");
  if (last !== "") {
    yield last;
  }
}

/** A text as it arrived in chunks; they are not joined, which would take the same memory again. */
export class ChunkedText implements SnapshotText {
  readonly length: number;
  readonly #chunks: readonly string[];
  readonly #starts: number[] = [];

  constructor(chunks: readonly string[]) {
    this.#chunks = chunks;
    let length = 0;
    for (const chunk of chunks) {
      this.#starts.push(length);
      length += chunk.length;
    }
    this.length = length;
  }

  slice(start: number, end: number): string {
    const parts: string[] = [];
    for (let i = this.#chunkAt(start); i < this.#chunks.length; i++) {
      const chunkStart = this.#starts[i]!;
      if (chunkStart >= end) {
        break;
      }
      const from = Math.max(0, start - chunkStart);
      parts.push(this.#chunks[i]!.slice(from, end - chunkStart));
    }
    return parts.join("");
  }

  /** Number of the chunk that holds a position. */
  #chunkAt(position: number): number {
    let low = 0;
    let high = this.#starts.length;
    while (low + 1 < high) {
      const middle = (low + high) >>> 1;
      if (this.#starts[middle]! <= position) {
        low = middle;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
