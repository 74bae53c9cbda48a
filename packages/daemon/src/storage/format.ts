/**
 * Format of a data folder, which names the cluster and the replica that it belongs to.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { mkdir, readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { z } from "zod";
import {
  Err,
  type Fault,
  fault,
  Ok,
  parse,
  ReplicaId,
  type Result,
  type StoredState,
} from "@quetzalcove/core";
import {
  catchStorageFault,
  errorCode,
  removeFile,
  storageFault,
  writeDurably,
} from "./files.ts";
import { lockFolder, type LockFunction } from "./lock.ts";
import { createSegment, segmentNumber } from "./segment.ts";

const FORMAT_FILE = "format.json";
const FORMAT_VERSION = 1;
const REPLICA_SUFFIX_BYTES = 4;

export const FolderFormat = z.strictObject({
  version: z.literal(FORMAT_VERSION),
  /** Id of the cluster, created by `init`. */
  cluster: z.string().min(1),
  replica: ReplicaId,
});
export type FolderFormat = z.infer<typeof FolderFormat>;

/** Returns a random cluster id. */
export function newClusterId(): string {
  return randomBytes(8).toString("hex");
}

/** Returns the id of a replica that starts from an empty folder. */
export function newReplicaId(entry: string): ReplicaId {
  return `${entry}#${randomBytes(REPLICA_SUFFIX_BYTES).toString("hex")}`;
}

/** Reads the format of a folder; undefined if the folder is not formatted. */
export async function readFormat(
  folder: string,
): Promise<Result<FolderFormat | undefined, Fault>> {
  const text = await catchStorageFault(
    "Reading the folder format",
    () => readIfPresent(join(folder, FORMAT_FILE)),
  );
  return text.andThen((present) =>
    present === undefined ? Ok(undefined) : parseFormat(folder, present)
  );
}

function parseFormat(
  folder: string,
  text: string,
): Result<FolderFormat, Fault> {
  const what = `Format of data folder "${folder}"`;
  try {
    return parse(FolderFormat, JSON.parse(text), what)
      .mapErr(({ message }) => storageFault(message));
  } catch {
    return Err(storageFault(`${what} is not JSON`));
  }
}

async function readIfPresent(path: string): Promise<string | undefined> {
  try {
    return await readFile(path, "utf8");
  } catch (error) {
    if (errorCode(error) === "ENOENT") {
      return undefined;
    }
    throw error;
  }
}

/** Options of `formatFolder`. */
export interface FormatOptions {
  cluster: string;
  replica: ReplicaId;
  stored: Pick<StoredState, "hardState" | "entries">;
}

/** Formats an empty folder for a replica; fails with `conflict` if it is already formatted. */
export async function formatFolder(
  folder: string,
  options: FormatOptions,
  acquireLock: LockFunction = lockFolder,
): Promise<Result<FolderFormat, Fault>> {
  const created = await catchStorageFault(
    "Creating the data folder",
    () => mkdir(folder, { recursive: true }),
  );
  if (created.err) {
    return created;
  }
  const lock = await acquireLock(folder);
  if (lock.err) {
    return lock;
  }
  const result = await formatLocked(folder, options);
  await lock.val.release();
  return result;
}

async function formatLocked(
  folder: string,
  { cluster, replica, stored }: FormatOptions,
): Promise<Result<FolderFormat, Fault>> {
  const known = await readFormat(folder);
  if (known.err) {
    return known;
  }
  if (known.val !== undefined) {
    return Err(alreadyFormattedFault(folder, known.val));
  }
  const format: FolderFormat = { version: FORMAT_VERSION, cluster, replica };
  return catchStorageFault("Formatting the data folder", async () => {
    await removeUnfinishedSegments(folder);
    const base = { index: 0, term: 0 };
    const { hardState, entries } = stored;
    const handle = await createSegment(
      folder,
      { kind: "start", number: 1, base, reset: false, hardState },
      entries,
    );
    await handle.close();
    await writeDurably(join(folder, FORMAT_FILE), encodeFormat(format));
    return format;
  });
}

/** Removes segments left by an interrupted formatting, which wrote no format file since that is the last step. */
async function removeUnfinishedSegments(folder: string): Promise<void> {
  const names = await readdir(folder);
  for (const name of names.filter((n) => segmentNumber(n) !== undefined)) {
    await removeFile(join(folder, name));
  }
}

function encodeFormat(format: FolderFormat): Buffer {
  return Buffer.from(JSON.stringify(format, undefined, 2) + "\n");
}

function alreadyFormattedFault(
  folder: string,
  { cluster, replica }: FolderFormat,
): Fault {
  return fault(
    "conflict",
    `Data folder "${folder}" already belongs to replica "${replica}" of cluster "${cluster}"`,
  );
}
