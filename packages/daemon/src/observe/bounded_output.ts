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

/** Opens a bounded stream on a file descriptor. Lines of some milliseconds share one write. */
export function boundedOutput(descriptor: number): Writable {
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
    const text = waiting.join("") + note;
    waiting = [];
    waitingBytes = 0;
    dropped = 0;
    writeAll(descriptor, Buffer.from(text), () => later(flush));
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

function writeAll(descriptor: number, bytes: Buffer, done: () => void): void {
  write(descriptor, bytes, (error, written) => {
    const isPartial = error === null && written < bytes.length;
    if (isPartial) {
      writeAll(descriptor, bytes.subarray(written), done);
    } else {
      // Without a reader there is nobody to report a failed write to.
      done();
    }
  });
}
