/**
 * Snapshot files, named by the snapshot's index: a frame with the metadata and a frame with the data.
 *
 * The data may be larger than what is left of the heap, so it is written and read in parts. It is stored as ASCII, so that
 * its positions in bytes and in UTF-16 code units are the same.
 *
 * @module
 */
import { Buffer, isAscii } from "node:buffer";
import { closeSync, openSync, readSync } from "node:fs";
import { type FileHandle, open, readdir } from "node:fs/promises";
import { join } from "node:path";
import {
  Err,
  type Fault,
  Ok,
  type Result,
  type Snapshot,
  SnapshotMetadata,
  type SnapshotText,
} from "@quetzalcove/core";
import { createDurably, removeFile, writeFully } from "./files.ts";
import {
  checksumOf,
  corruptionFault,
  encodeFrame,
  encodeFrameHeader,
  HEADER_BYTES,
  readFrameHeader,
} from "./frame.ts";

const SNAPSHOT_NAME = /^snapshot-(\d{16})$/;
const INDEX_DIGITS = 16;

/** Size of the parts in which data is written and read. */
const PART_BYTES = 65_536;

/** Data of a snapshot in its file, which is open until `close`. */
export class SnapshotFile implements SnapshotText {
  /** Index of the snapshot. */
  readonly index: number;
  readonly length: number;
  readonly #descriptor: number;
  readonly #start: number;
  #isOpen = true;

  constructor(path: string, index: number, range: DataRange) {
    this.index = index;
    this.length = range.length;
    this.#start = range.start;
    this.#descriptor = openSync(path, "r");
  }

  slice(start: number, end: number): string {
    const length = Math.max(0, Math.min(end, this.length) - start);
    const part = Buffer.allocUnsafe(length);
    let read = 0;
    while (read < length) {
      const position = this.#start + start + read;
      const bytes = readSync(
        this.#descriptor,
        part,
        read,
        length - read,
        position,
      );
      if (bytes === 0) {
        throw new RangeError(`Snapshot ${this.index} ends at byte ${position}`);
      }
      read += bytes;
    }
    return part.toString("latin1");
  }

  close(): void {
    if (this.#isOpen) {
      this.#isOpen = false;
      closeSync(this.#descriptor);
    }
  }
}

/** Position and length of the data in a snapshot file, in bytes. */
interface DataRange {
  start: number;
  length: number;
}

function snapshotName(index: number): string {
  return `snapshot-${String(index).padStart(INDEX_DIGITS, "0")}`;
}

/**
 * Writes a snapshot atomically: after a crash it is complete or absent. `parts` make up its data, which is JSON; they are
 * taken one after the other as the file is written.
 */
export async function writeSnapshot(
  folder: string,
  { index, term, membership }: SnapshotMetadata,
  parts: Iterable<string>,
): Promise<SnapshotFile> {
  const path = join(folder, snapshotName(index));
  const head = encodeFrame(JSON.stringify({ index, term, membership }));
  let length = 0;
  const handle = await createDurably(path, async (file) => {
    await writeFully(file, head, 0);
    length = await writeData(file, head.length, parts);
  });
  await handle.close();
  const start = head.length + HEADER_BYTES;
  return new SnapshotFile(path, index, { start, length });
}

/** Writes a frame with the data at a position; returns its length. The header, which has its checksum, is written last. */
async function writeData(
  handle: FileHandle,
  position: number,
  parts: Iterable<string>,
): Promise<number> {
  let length = 0;
  let checksum = 0;
  for (const part of chunksOf(parts)) {
    checksum = checksumOf(part, checksum);
    await writeFully(handle, part, position + HEADER_BYTES + length);
    length += part.length;
  }
  await writeFully(handle, encodeFrameHeader(length, checksum), position);
  return length;
}

/** Joins small parts, so that a write is worth its system call. */
function* chunksOf(parts: Iterable<string>): Generator<Buffer> {
  let joined: string[] = [];
  let length = 0;
  for (const part of parts) {
    joined.push(part);
    length += part.length;
    if (length >= PART_BYTES) {
      yield asciiOf(joined.join(""));
      joined = [];
      length = 0;
    }
  }
  if (length > 0) {
    yield asciiOf(joined.join(""));
  }
}

/** Encodes JSON with all other characters than those of ASCII escaped. */
function asciiOf(json: string): Buffer {
  const escaped = json.replace(
    /[\u0080-\uffff]/g,
    (character) =>
      `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`,
  );
  return Buffer.from(escaped, "latin1");
}

/** Reads the newest snapshot, if there is one. Its data stays in the file. */
export async function readSnapshot(
  folder: string,
): Promise<Result<Snapshot | undefined, Fault>> {
  const name = (await snapshotNames(folder)).at(-1);
  if (name === undefined) {
    return Ok(undefined);
  }
  const path = join(folder, name);
  const handle = await open(path, "r");
  try {
    return await readFrames(handle, path, name);
  } finally {
    await handle.close();
  }
}

async function readFrames(
  handle: FileHandle,
  path: string,
  name: string,
): Promise<Result<Snapshot, Fault>> {
  const { size } = await handle.stat();
  const head = await readHeader(handle, 0, size);
  const body = head && await readPart(handle, HEADER_BYTES, head.length);
  if (head === undefined || body === undefined) {
    return Err(corruptionFault(name, 0));
  }
  const metadata = SnapshotMetadata.safeParse(parseJson(body));
  const dataHeader = HEADER_BYTES + head.length;
  const data = await readHeader(handle, dataHeader, size);
  if (
    checksumOf(body) !== head.checksum || !metadata.success ||
    data === undefined
  ) {
    return Err(corruptionFault(name, 0));
  }
  const range = { start: dataHeader + HEADER_BYTES, length: data.length };
  const verified = await verify(handle, range);
  if (
    verified.checksum !== data.checksum || range.start + range.length !== size
  ) {
    return Err(corruptionFault(name, dataHeader));
  }
  return Ok({
    ...metadata.data,
    // Earlier versions stored UTF-8, in which positions are not those of the text.
    data: verified.isAsciiOnly
      ? new SnapshotFile(path, metadata.data.index, range)
      : (await readPart(handle, range.start, range.length)).toString("utf8"),
  });
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    return undefined;
  }
}

/** Reads a frame header; undefined if it is damaged or the file is shorter than the frame. */
async function readHeader(
  handle: FileHandle,
  position: number,
  size: number,
): Promise<ReturnType<typeof readFrameHeader>> {
  if (position + HEADER_BYTES > size) {
    return undefined;
  }
  const header = readFrameHeader(
    await readPart(handle, position, HEADER_BYTES),
  );
  return header && position + HEADER_BYTES + header.length <= size
    ? header
    : undefined;
}

async function readPart(
  handle: FileHandle,
  position: number,
  length: number,
): Promise<Buffer> {
  const part = Buffer.alloc(length);
  let read = 0;
  while (read < length) {
    const { bytesRead } = await handle.read(
      part,
      read,
      length - read,
      position + read,
    );
    if (bytesRead === 0) {
      break;
    }
    read += bytesRead;
  }
  return part;
}

/** The checksum of data in a file, and whether positions in it are those of the text. */
async function verify(
  handle: FileHandle,
  { start, length }: DataRange,
): Promise<{ checksum: number; isAsciiOnly: boolean }> {
  let checksum = 0;
  let isAsciiOnly = true;
  for (let offset = 0; offset < length; offset += PART_BYTES) {
    const size = Math.min(PART_BYTES, length - offset);
    const part = await readPart(handle, start + offset, size);
    checksum = checksumOf(part, checksum);
    isAsciiOnly &&= isAscii(part);
  }
  return { checksum, isAsciiOnly };
}

/** Removes the snapshots of lower indexes. */
export async function removeSnapshotsBefore(
  folder: string,
  index: number,
): Promise<void> {
  const oldest = snapshotName(index);
  for (const name of await snapshotNames(folder)) {
    if (name < oldest) {
      await removeFile(join(folder, name));
    }
  }
}

async function snapshotNames(folder: string): Promise<string[]> {
  const names = await readdir(folder);
  return names.filter((name) => SNAPSHOT_NAME.test(name)).sort();
}
