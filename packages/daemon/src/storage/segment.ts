/**
 * Segments of the stored log. A segment starts with a frame that carries the hard state, so that older segments can be
 * deleted once a snapshot covers their entries.
 *
 * @module
 */
import { type FileHandle, readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { z } from "zod";
import {
  Err,
  type Fault,
  HardState,
  LogEntry,
  Ok,
  type Result,
} from "@quetzalcove/core";
import { createDurably, writeFully } from "./files.ts";
import { corruptionFault, encodeFrame, scanFrames } from "./frame.ts";

const SEGMENT_NAME = /^log-(\d{10})$/;
const NUMBER_DIGITS = 10;

/** First frame of a segment. */
export const SegmentStart = z.object({
  kind: z.literal("start"),
  number: z.number().int(),
  /** Position before the first entry of the segment. */
  base: z.object({ index: z.number().int(), term: z.number().int() }),
  /** Whether the entries of earlier segments are discarded. */
  reset: z.boolean(),
  hardState: HardState,
});
export type SegmentStart = z.infer<typeof SegmentStart>;

/** The writes of one sync. Its entries replace all earlier ones from the first one's index on. */
export const SegmentWrite = z.object({
  kind: z.literal("write"),
  hardState: HardState.optional(),
  entries: z.array(LogEntry),
});
export type SegmentWrite = z.infer<typeof SegmentWrite>;

const SegmentRecord = z.discriminatedUnion("kind", [
  SegmentStart,
  SegmentWrite,
]);
type SegmentRecord = z.infer<typeof SegmentRecord>;

/** A parsed segment. */
export interface Segment {
  name: string;
  start: SegmentStart;
  writes: SegmentWrite[];
  /** Whether the file ends in an incomplete frame, which was ignored. */
  torn: boolean;
  bytes: number;
}

export function segmentName(number: number): string {
  return `log-${String(number).padStart(NUMBER_DIGITS, "0")}`;
}

/** Parses the number of a segment from its file name; undefined for other files. */
export function segmentNumber(name: string): number | undefined {
  const digits = SEGMENT_NAME.exec(name)?.[1];
  return digits === undefined ? undefined : Number(digits);
}

/** Encodes a record as one frame. */
export function encodeRecord(record: SegmentRecord): Buffer {
  return encodeFrame(JSON.stringify(record));
}

/** Creates a segment and returns its open file. */
export function createSegment(
  folder: string,
  start: SegmentStart,
  entries: readonly LogEntry[] = [],
): Promise<FileHandle> {
  const frames = [encodeRecord(start)];
  if (entries.length > 0) {
    frames.push(encodeRecord({ kind: "write", entries: [...entries] }));
  }
  const path = join(folder, segmentName(start.number));
  return createDurably(
    path,
    (file) => writeFully(file, Buffer.concat(frames), 0),
  );
}

/** Reads all segments of a folder in order. Only the last one may end in a torn write. */
export async function readSegments(
  folder: string,
): Promise<Result<Segment[], Fault>> {
  const names = (await readdir(folder))
    .filter((name) => segmentNumber(name) !== undefined)
    .sort();
  const segments: Segment[] = [];
  for (const name of names) {
    const content = await readFile(join(folder, name));
    const segment = parseSegment(name, content);
    if (segment.err) {
      return segment;
    }
    if (segment.val.torn && name !== names.at(-1)) {
      return Err(corruptionFault(name, segment.val.bytes));
    }
    segments.push(segment.val);
  }
  return Ok(segments);
}

function parseSegment(name: string, content: Buffer): Result<Segment, Fault> {
  const scan = scanFrames(content, name);
  if (scan.err) {
    return scan;
  }
  const { bodies, validBytes } = scan.val;
  const records: SegmentRecord[] = [];
  for (const body of bodies) {
    const record = SegmentRecord.safeParse(JSON.parse(body.toString("utf8")));
    if (!record.success) {
      return Err(corruptionFault(name, validBytes));
    }
    records.push(record.data);
  }
  const [start, ...rest] = records;
  if (start?.kind !== "start" || start.number !== segmentNumber(name)) {
    return Err(corruptionFault(name, 0));
  }
  const writes = rest.filter((record) => record.kind === "write");
  const torn = validBytes < content.length;
  return Ok({ name, start, writes, torn, bytes: validBytes });
}
