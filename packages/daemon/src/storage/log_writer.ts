/**
 * Appends to the newest segment of the log, starts new segments and deletes those that a snapshot covers.
 *
 * @module
 */
import { type FileHandle, open } from "node:fs/promises";
import { join } from "node:path";
import type { HardState, LogEntry, RaftWrite } from "@quetzalcove/core";
import { removeFile, syncFolder, writeFully } from "./files.ts";
import {
  createSegment,
  encodeRecord,
  type Segment,
  segmentName,
  type SegmentStart,
  type SegmentWrite,
} from "./segment.ts";

interface Position {
  index: number;
  term: number;
}

/** Range of the entries in a segment, which determines when the segment can be deleted. */
interface SegmentRange {
  number: number;
  base: Position;
  /** Lowest index in the segment; infinite without entries. */
  minIndex: number;
  /** Highest index in the segment, or the index of its base. */
  maxIndex: number;
}

/** The end of the log, where a writer continues, and the current hard state. */
export interface LogEnd {
  last: Position;
  hardState: HardState;
}

/** Writer of the stored log. Calls must not overlap. */
export class LogWriter {
  readonly #folder: string;
  readonly #ranges: SegmentRange[];
  #handle: FileHandle;
  #bytes: number;
  #end: LogEnd;
  #syncs = 0;

  constructor(
    folder: string,
    file: { handle: FileHandle; bytes: number },
    state: { ranges: SegmentRange[]; end: LogEnd },
  ) {
    this.#folder = folder;
    this.#handle = file.handle;
    this.#bytes = file.bytes;
    this.#ranges = state.ranges;
    this.#end = state.end;
  }

  /** Opens the newest segment for appending, and truncates a torn write at its end. */
  static async open(
    folder: string,
    { segments, end }: { segments: readonly Segment[]; end: LogEnd },
  ): Promise<LogWriter> {
    const newest = segments.at(-1)!;
    const handle = await open(join(folder, newest.name), "r+");
    if (newest.torn) {
      await handle.truncate(newest.bytes);
      await handle.sync();
    }
    const ranges = segments.map(segmentRange);
    const file = { handle, bytes: newest.bytes };
    const writer = new LogWriter(folder, file, { ranges, end });
    const lastReset = segments.findLastIndex(({ start }) => start.reset);
    await writer.#removeOldest(Math.max(0, lastReset));
    return writer;
  }

  /** Number of syncs of appended writes. */
  get syncs(): number {
    return this.#syncs;
  }

  /** Appends writes as one frame and syncs it. */
  async append(writes: readonly RaftWrite[]): Promise<void> {
    const hardState = writes.findLast((w) => w.hardState !== undefined)
      ?.hardState;
    const entries = writes.flatMap((write) => write.entries);
    if (hardState === undefined && entries.length === 0) {
      return;
    }
    const frame = encodeRecord({ kind: "write", hardState, entries });
    await writeFully(this.#handle, frame, this.#bytes);
    await this.#handle.datasync();
    this.#syncs += 1;
    this.#bytes += frame.length;
    this.#recordWrite({ kind: "write", hardState, entries });
  }

  /** Starts a new segment that continues the log. */
  async rotate(): Promise<void> {
    const { last, hardState } = this.#end;
    await this.#startSegment({ base: last, reset: false, hardState }, []);
  }

  /** Replaces the whole log with entries after a base. */
  async reset(
    base: Position,
    write: { hardState?: HardState; entries: LogEntry[] },
  ): Promise<void> {
    const hardState = write.hardState ?? this.#end.hardState;
    await this.#startSegment({ base, reset: true, hardState }, write.entries);
    await this.#removeOldest(this.#ranges.length - 1);
  }

  /** Deletes the oldest segments that a snapshot up to an index covers. */
  async removeCovered(index: number): Promise<void> {
    const firstNeeded = this.#ranges.findIndex((range) =>
      range.maxIndex > index
    );
    const limit = firstNeeded === -1 ? this.#ranges.length - 1 : firstNeeded;
    const firstKept = this.#ranges.findLastIndex((_, position) =>
      position <= limit && this.#isReplayableFrom(position)
    );
    await this.#removeOldest(Math.max(0, firstKept));
  }

  /** Whether the log can be replayed from a segment on: no entry in it or later replaces one at or before its base. */
  #isReplayableFrom(position: number): boolean {
    const [first, ...later] = this.#ranges.slice(position);
    return first !== undefined &&
      [first, ...later].every(({ minIndex }) => minIndex > first.base.index);
  }

  async close(): Promise<void> {
    await this.#handle.close();
  }

  async #startSegment(
    start: Omit<SegmentStart, "kind" | "number">,
    entries: LogEntry[],
  ): Promise<void> {
    const number = this.#ranges.at(-1)!.number + 1;
    const segmentStart: SegmentStart = { kind: "start", number, ...start };
    const handle = await createSegment(this.#folder, segmentStart, entries);
    await this.#handle.close();
    this.#handle = handle;
    this.#bytes = (await handle.stat()).size;
    this.#ranges.push(emptySegmentRange(segmentStart));
    this.#end = { last: start.base, hardState: start.hardState };
    this.#recordWrite({ kind: "write", entries });
  }

  #recordWrite(write: SegmentWrite): void {
    const last = write.entries.at(-1);
    this.#end = {
      last: last === undefined
        ? this.#end.last
        : { index: last.index, term: last.term },
      hardState: write.hardState ?? this.#end.hardState,
    };
    addWrite(this.#ranges.at(-1)!, write);
  }

  async #removeOldest(count: number): Promise<void> {
    const removed = this.#ranges.splice(0, count);
    for (const { number } of removed) {
      await removeFile(join(this.#folder, segmentName(number)));
    }
    if (removed.length > 0) {
      await syncFolder(this.#folder);
    }
  }
}

function emptySegmentRange({ number, base }: SegmentStart): SegmentRange {
  return {
    number,
    base,
    minIndex: Number.POSITIVE_INFINITY,
    maxIndex: base.index,
  };
}

function segmentRange({ start, writes }: Segment): SegmentRange {
  const range = emptySegmentRange(start);
  writes.forEach((write) => addWrite(range, write));
  return range;
}

function addWrite(range: SegmentRange, { entries }: SegmentWrite): void {
  for (const { index } of entries) {
    range.minIndex = Math.min(range.minIndex, index);
    range.maxIndex = Math.max(range.maxIndex, index);
  }
}
