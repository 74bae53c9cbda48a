/**
 * Opens the data folder of a replica and recovers its state.
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
  catchStorageFault,
  removeFile,
  storageFault,
  TEMPORARY_SUFFIX,
} from "./files.ts";
import { type FolderFormat, readFormat } from "./format.ts";
import { type FolderLock, lockFolder, type LockFunction } from "./lock.ts";
import { type LogEnd, LogWriter } from "./log_writer.ts";
import { recover } from "./recovery.ts";
import { readSegments } from "./segment.ts";
import { readSnapshot, SnapshotFile } from "./snapshot_file.ts";
import { Storage } from "./storage.ts";

/** Result of `openStorage`. */
export interface OpenedStorage {
  format: FolderFormat;
  stored: StoredState;
  storage: Storage;
}

/** Opens a formatted folder: locks it, verifies it, and truncates a torn write at the end of the log. */
export async function openStorage(
  folder: string,
  acquireLock: LockFunction = lockFolder,
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
  const lock = await acquireLock(folder);
  if (lock.err) {
    return lock;
  }
  const opened = await catchStorageFault(
    "Opening the data folder",
    () => openLocked(folder, lock.val),
  );
  const result = opened.andThen((nested) => nested);
  if (result.err) {
    await lock.val.release();
    return result;
  }
  return Ok({ format: format.val, ...result.val });
}

async function openLocked(
  folder: string,
  lock: FolderLock,
): Promise<Result<Omit<OpenedStorage, "format">, Fault>> {
  await removeTemporaryFiles(folder);
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
  const end = { last: lastPosition(stored), hardState };
  const writer = await LogWriter.open(folder, { segments: segments.val, end });
  if (detached) {
    await writer.reset(end.last, { entries: [] });
  }
  const data = snapshot.val?.data;
  const file = data instanceof SnapshotFile ? data : undefined;
  return Ok({ stored, storage: new Storage(folder, lock, writer, file) });
}

function lastPosition({ snapshot, entries }: StoredState): LogEnd["last"] {
  const { index, term } = entries.at(-1) ?? snapshot ?? { index: 0, term: 0 };
  return { index, term };
}

async function removeTemporaryFiles(folder: string): Promise<void> {
  const names = await readdir(folder);
  for (const name of names.filter((n) => n.endsWith(TEMPORARY_SUFFIX))) {
    await removeFile(join(folder, name));
  }
}
