/**
 * Frames of a file: a header with length and checksums, and a body. An incomplete frame at the end of a file is a torn
 * write, left by a crash; an invalid frame before a valid one is corruption.
 *
 * @module
 */
import crc32 from "crc-32";
import { Err, type Fault, Ok, type Result } from "@quetzalcove/core";
import { storageFault } from "./files.ts";

/** Magic number at the start of a frame; its bytes never occur in UTF-8 text. */
const MAGIC = Buffer.from([0xf5, 0xc0, 0xfe, 0x51]);
const LENGTH_OFFSET = 4;
const BODY_CHECKSUM_OFFSET = 8;
const HEADER_CHECKSUM_OFFSET = 12;
export const HEADER_BYTES = 16;

/** The frame bodies of a file and the length of its valid part. */
export interface ScannedFrames {
  bodies: Buffer[];
  validBytes: number;
}

/** Length and checksum of a frame's body. */
export interface FrameHeader {
  length: number;
  checksum: number;
}

/** CRC-32 of bytes, continued from that of the bytes before them. */
export function checksumOf(bytes: Buffer, before = 0): number {
  return crc32.buf(bytes, before);
}

/** Encodes a body as a frame. */
export function encodeFrame(body: string): Buffer {
  const length = Buffer.byteLength(body);
  const frame = Buffer.allocUnsafe(HEADER_BYTES + length);
  frame.write(body, HEADER_BYTES);
  const checksum = checksumOf(frame.subarray(HEADER_BYTES));
  encodeFrameHeader(length, checksum).copy(frame, 0);
  return frame;
}

/** Encodes the header of a frame. */
export function encodeFrameHeader(length: number, checksum: number): Buffer {
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  MAGIC.copy(header, 0);
  header.writeUInt32LE(length, LENGTH_OFFSET);
  header.writeInt32LE(checksum, BODY_CHECKSUM_OFFSET);
  const checked = header.subarray(0, HEADER_CHECKSUM_OFFSET);
  header.writeInt32LE(checksumOf(checked), HEADER_CHECKSUM_OFFSET);
  return header;
}

/** Decodes the header of a frame; undefined if it is damaged. */
export function readFrameHeader(header: Buffer): FrameHeader | undefined {
  const checked = header.subarray(0, HEADER_CHECKSUM_OFFSET);
  const isIntact = checked.subarray(0, MAGIC.length).equals(MAGIC) &&
    checksumOf(checked) === header.readInt32LE(HEADER_CHECKSUM_OFFSET);
  return isIntact
    ? {
      length: header.readUInt32LE(LENGTH_OFFSET),
      checksum: header.readInt32LE(BODY_CHECKSUM_OFFSET),
    }
    : undefined;
}

/** Reads all frames; a torn last frame ends the valid part, corruption before it is a fault. */
export function scanFrames(
  file: Buffer,
  name: string,
): Result<ScannedFrames, Fault> {
  const bodies: Buffer[] = [];
  let position = 0;
  while (position < file.length) {
    const body = readFrameBody(file, position);
    if (body === undefined) {
      return hasFrameAfter(file, position)
        ? Err(corruptionFault(name, position))
        : Ok({ bodies, validBytes: position });
    }
    bodies.push(body);
    position += HEADER_BYTES + body.length;
  }
  return Ok({ bodies, validBytes: position });
}

/** Returns the fault of a file whose synced part does not match its checksums. */
export function corruptionFault(name: string, position: number): Fault {
  return storageFault(
    `File "${name}" is damaged at byte ${position}`,
    "Remove this replica from the cluster, format an empty folder and add it as a new one",
  );
}

function readFrameBody(file: Buffer, position: number): Buffer | undefined {
  const start = position + HEADER_BYTES;
  if (start > file.length) {
    return undefined;
  }
  const header = readFrameHeader(file.subarray(position, start));
  if (header === undefined || start + header.length > file.length) {
    return undefined;
  }
  const body = file.subarray(start, start + header.length);
  return checksumOf(body) === header.checksum ? body : undefined;
}

function hasFrameAfter(file: Buffer, position: number): boolean {
  let next = file.indexOf(MAGIC, position + 1);
  while (next !== -1) {
    if (readFrameBody(file, next) !== undefined) {
      return true;
    }
    next = file.indexOf(MAGIC, next + 1);
  }
  return false;
}
