/**
 * A writable stream that never blocks its writer: what the reader does not take in time is dropped and counted.
 *
 * @module
 */
import { write } from "node:fs";
import { Writable } from "node:stream";

/** Most bytes that wait for the reader: some seconds of a busy node's events. */
const MAX_WAITING_BYTES = 262_144;

/** Longest wait before lines are written together, in milliseconds. */
const GATHER_MS = 50;

/** Most bytes of one write: what pipes take whole, so that no reader sees a part of a line. */
const PIPE_BYTES = 4_096;

/** Writes bytes to a file descriptor, and tells how many of them were taken. */
export type Write = (
  descriptor: number,
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** Opens a bounded stream on a file descriptor. Lines of some milliseconds share one write. */
export function boundedOutput(
  descriptor: number,
  writeTo: Write = write,
): Writable {
  let waiting: string[] = [];
  let waitingBytes = 0;
  let dropped = 0;
  let isBusy = false;
  const flush = (): void => {
    if (waiting.length === 0) {
      isBusy = false;
      return;
    }
    const note = dropped === 0 ? "" : `event=log.dropped lines=${dropped}\n`;
    const chunks = inChunks([...waiting, note]);
    waiting = [];
    waitingBytes = 0;
    dropped = 0;
    writeChunks(writeTo, descriptor, chunks, () => later(flush));
  };
  return new Writable({
    decodeStrings: false,
    write(line: string | Buffer, _encoding, done): void {
      const text = line.toString();
      if (waitingBytes + text.length > MAX_WAITING_BYTES) {
        dropped += 1;
      } else {
        waiting.push(text);
        waitingBytes += text.length;
      }
      if (!isBusy) {
        isBusy = true;
        later(flush);
      }
      done();
    },
  });
}

/** The process may end while lines wait to be gathered. */
function later(flush: () => void): void {
  setTimeout(flush, GATHER_MS).unref();
}

/** Joins lines as long as they fit into one write. */
function inChunks(lines: readonly string[]): Buffer[] {
  const chunks: string[] = [];
  let chunk = "";
  for (const line of lines) {
    if (chunk.length + line.length > PIPE_BYTES && chunk !== "") {
      chunks.push(chunk);
      chunk = "";
    }
    chunk += line;
  }
  return [...chunks, chunk].map((text) => Buffer.from(text));
}

function writeChunks(
  writeTo: Write,
  descriptor: number,
  [chunk, ...others]: readonly Buffer[],
  done: () => void,
): void {
  if (chunk === undefined) {
    done();
    return;
  }
  writeTo(descriptor, chunk, (error, written) => {
    const isPartial = error === null && written < chunk.length;
    // Without a reader there is nobody to report a failed write to.
    const left = isPartial ? [chunk.subarray(written), ...others] : others;
    writeChunks(writeTo, descriptor, left, done);
  });
}
