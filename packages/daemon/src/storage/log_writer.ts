/**
 * Appends to the newest segment of the log, starts new ones and deletes those that a snapshot covers.
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

/** What a segment holds, as far as its deletion depends on it. */
interface Extent {
  number: number;
  base: Position;
  /** Lowest index that it writes; infinite without writes. */
  minIndex: number;
  /** Highest index that it writes, or the base's. */
  maxIndex: number;
}

/** The end of the log, where a writer continues. */
export interface LogEnd {
  last: Position;
  hardState: HardState;
}

/** The open end of the stored log. Calls must not overlap. */
export class LogWriter {
  readonly #folder: string;
  readonly #extents: Extent[];
  #handle: FileHandle;
  #bytes: number;
  #end: LogEnd;
  #syncs = 0;

  constructor(
    folder: string,
    file: { handle: FileHandle; bytes: number },
    state: { extents: Extent[]; end: LogEnd },
  ) {
    this.#folder = folder;
    this.#handle = file.handle;
    this.#bytes = file.bytes;
    this.#extents = state.extents;
    this.#end = state.end;
  }

  /** Continues the newest segment and cuts its torn end. */
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
    const extents = segments.map(extentOf);
    const file = { handle, bytes: newest.bytes };
    const writer = new LogWriter(folder, file, { extents, end });
    const lastReset = segments.findLastIndex(({ start }) => start.reset);
    await writer.#removeFirst(Math.max(0, lastReset));
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
    this.#note({ kind: "write", hardState, entries });
  }

  /** Starts a new segment that continues the log. */
  async rotate(): Promise<void> {
    const { last, hardState } = this.#end;
    await this.#begin({ base: last, reset: false, hardState }, []);
  }

  /** Replaces the whole log by entries after a base. */
  async reset(
    base: Position,
    write: { hardState?: HardState; entries: LogEntry[] },
  ): Promise<void> {
    const hardState = write.hardState ?? this.#end.hardState;
    await this.#begin({ base, reset: true, hardState }, write.entries);
    await this.#removeFirst(this.#extents.length - 1);
  }

  /** Deletes the oldest segments whose entries are all covered by a snapshot. */
  async removeCovered(index: number): Promise<void> {
    const needed = this.#extents.findIndex((extent) => extent.maxIndex > index);
    const limit = needed === -1 ? this.#extents.length - 1 : needed;
    const keep = this.#extents.findLastIndex((_, position) =>
      position <= limit && this.#mayStart(position)
    );
    await this.#removeFirst(Math.max(0, keep));
  }

  /** Whether the log can be read from a segment on: nothing in it or later replaces an entry before its base. */
  #mayStart(position: number): boolean {
    const [first, ...later] = this.#extents.slice(position);
    return first !== undefined &&
      [first, ...later].every(({ minIndex }) => minIndex > first.base.index);
  }

  async close(): Promise<void> {
    await this.#handle.close();
  }

  async #begin(
    start: Omit<SegmentStart, "kind" | "number">,
    entries: LogEntry[],
  ): Promise<void> {
    const number = this.#extents.at(-1)!.number + 1;
    const full: SegmentStart = { kind: "start", number, ...start };
    const handle = await createSegment(this.#folder, full, entries);
    await this.#handle.close();
    this.#handle = handle;
    this.#bytes = (await handle.stat()).size;
    this.#extents.push(newExtent(full));
    this.#end = { last: start.base, hardState: start.hardState };
    this.#note({ kind: "write", entries });
  }

  #note(write: SegmentWrite): void {
    const last = write.entries.at(-1);
    this.#end = {
      last: last === undefined
        ? this.#end.last
        : { index: last.index, term: last.term },
      hardState: write.hardState ?? this.#end.hardState,
    };
    extend(this.#extents.at(-1)!, write);
  }

  async #removeFirst(count: number): Promise<void> {
    const removed = this.#extents.splice(0, count);
    for (const { number } of removed) {
      await removeFile(join(this.#folder, segmentName(number)));
    }
    if (removed.length > 0) {
      await syncFolder(this.#folder);
    }
  }
}

function newExtent({ number, base }: SegmentStart): Extent {
  return {
    number,
    base,
    minIndex: Number.POSITIVE_INFINITY,
    maxIndex: base.index,
  };
}

function extentOf({ start, writes }: Segment): Extent {
  const extent = newExtent(start);
  writes.forEach((write) => extend(extent, write));
  return extent;
}

function extend(extent: Extent, { entries }: SegmentWrite): void {
  for (const { index } of entries) {
    extent.minIndex = Math.min(extent.minIndex, index);
    extent.maxIndex = Math.max(extent.maxIndex, index);
  }
}
