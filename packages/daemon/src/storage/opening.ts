/**
 * Opens the data folder of a replica and recovers what it holds.
 *
 * @module
 */
import { readdir } from "node:fs/promises";
import { join } from "node:path";
import {
  Err,
  type Fault,
  Ok,
  type Result,
  type StoredState,
} from "@quetzalcove/core";
import {
  attempt,
  removeFile,
  storageFault,
  TEMPORARY_SUFFIX,
} from "./files.ts";
import { type FolderFormat, readFormat } from "./format.ts";
import { type FolderLock, type LockFolder, lockFolder } from "./lock.ts";
import { type LogEnd, LogWriter } from "./log_writer.ts";
import { recover } from "./recovery.ts";
import { readSegments } from "./segment.ts";
import { readSnapshot } from "./snapshot_file.ts";
import { Storage } from "./storage.ts";

/** What opening a folder returns. */
export interface OpenedStorage {
  format: FolderFormat;
  stored: StoredState;
  storage: Storage;
}

/** Opens a formatted folder: locks it, checks it, and cuts a torn end of the log. */
export async function openStorage(
  folder: string,
  takeLock: LockFolder = lockFolder,
): Promise<Result<OpenedStorage, Fault>> {
  const format = await readFormat(folder);
  if (format.err) {
    return format;
  }
  if (format.val === undefined) {
    return Err(
      storageFault(
        `Data folder "${folder}" is not formatted`,
        "Initialize the cluster, or join this entry to one",
      ),
    );
  }
  const lock = await takeLock(folder);
  if (lock.err) {
    return lock;
  }
  const opened = await attempt(
    "Opening the data folder",
    () => openLocked(folder, lock.val),
  );
  const flat = opened.andThen((result) => result);
  if (flat.err) {
    await lock.val.release();
    return flat;
  }
  return Ok({ format: format.val, ...flat.val });
}

async function openLocked(
  folder: string,
  lock: FolderLock,
): Promise<Result<Omit<OpenedStorage, "format">, Fault>> {
  await removeTemporary(folder);
  const snapshot = await readSnapshot(folder);
  if (snapshot.err) {
    return snapshot;
  }
  const segments = await readSegments(folder);
  if (segments.err) {
    return segments;
  }
  const recovered = recover(segments.val, snapshot.val);
  if (recovered.err) {
    return recovered;
  }
  const { hardState, entries, detached } = recovered.val;
  const stored: StoredState = { hardState, snapshot: snapshot.val, entries };
  const end = { last: lastOf(stored), hardState };
  const writer = await LogWriter.open(folder, { segments: segments.val, end });
  if (detached) {
    await writer.reset(end.last, { entries: [] });
  }
  return Ok({ stored, storage: new Storage(folder, lock, writer) });
}

function lastOf({ snapshot, entries }: StoredState): LogEnd["last"] {
  const { index, term } = entries.at(-1) ?? snapshot ?? { index: 0, term: 0 };
  return { index, term };
}

async function removeTemporary(folder: string): Promise<void> {
  const names = await readdir(folder);
  for (const name of names.filter((n) => n.endsWith(TEMPORARY_SUFFIX))) {
    await removeFile(join(folder, name));
  }
}
