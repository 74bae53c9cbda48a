/**
 * A writable stream with a bounded buffer that never blocks its writer; lines beyond the bound are dropped and counted.
 *
 * @module
 */
import { write } from "node:fs";
import { Writable } from "node:stream";

/** Maximum number of buffered bytes: some seconds of events of a busy node. */
const MAX_BUFFERED_BYTES = 262_144;

/** Delay in which lines are collected for one write. */
const FLUSH_DELAY_MS = 50;

/** Maximum size of one write: PIPE_BUF on Linux, up to which pipe writes are atomic, so readers see whole lines. */
const MAX_WRITE_BYTES = 4_096;

/** Writes bytes to a file descriptor, and reports how many were written. */
export type WriteFunction = (
  descriptor: number,
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** Opens a bounded stream on a file descriptor. Lines of one flush interval share writes. */
export function boundedOutput(
  descriptor: number,
  writeTo: WriteFunction = write,
): Writable {
  let buffered: string[] = [];
  let bufferedBytes = 0;
  let dropped = 0;
  let isFlushing = false;
  const flush = (): void => {
    if (buffered.length === 0) {
      isFlushing = false;
      return;
    }
    const dropNotice = dropped === 0
      ? ""
      : `event=log.dropped lines=${dropped}\n`;
    const chunks = joinLines([...buffered, dropNotice]);
    buffered = [];
    bufferedBytes = 0;
    dropped = 0;
    writeChunks(writeTo, descriptor, chunks, () => scheduleFlush(flush));
  };
  return new Writable({
    decodeStrings: false,
    write(line: string | Buffer, _encoding, done): void {
      const text = line.toString();
      if (bufferedBytes + text.length > MAX_BUFFERED_BYTES) {
        dropped += 1;
      } else {
        buffered.push(text);
        bufferedBytes += text.length;
      }
      if (!isFlushing) {
        isFlushing = true;
        scheduleFlush(flush);
      }
      done();
    },
  });
}

/** Schedules a flush that does not keep the process alive. */
function scheduleFlush(flush: () => void): void {
  setTimeout(flush, FLUSH_DELAY_MS).unref();
}

/** Joins lines into chunks that fit into one write each. */
function joinLines(lines: readonly string[]): Buffer[] {
  const chunks: string[] = [];
  let chunk = "";
  for (const line of lines) {
    if (chunk.length + line.length > MAX_WRITE_BYTES && chunk !== "") {
      chunks.push(chunk);
      chunk = "";
    }
    chunk += line;
  }
  return [...chunks, chunk].map((text) => Buffer.from(text));
}

function writeChunks(
  writeTo: WriteFunction,
  descriptor: number,
  [chunk, ...rest]: readonly Buffer[],
  done: () => void,
): void {
  if (chunk === undefined) {
    done();
    return;
  }
  writeTo(descriptor, chunk, (error, written) => {
    const isPartial = error === null && written < chunk.length;
    // A failed write is not reported: it means that there is no reader who would see the report.
    const remaining = isPartial ? [chunk.subarray(written), ...rest] : rest;
    writeChunks(writeTo, descriptor, remaining, done);
  });
}
