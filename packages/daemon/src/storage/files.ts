/**
 * Crash-safe file writes: to a temporary name, then sync, rename, and sync of the folder.
 *
 * @module
 */
import { type FileHandle, open, rename, unlink } from "node:fs/promises";
import { dirname } from "node:path";
import { Err, type Fault, fault, Ok, type Result } from "@quetzalcove/core";

/** Suffix of incomplete files, which are removed when the folder is opened. */
export const TEMPORARY_SUFFIX = ".tmp";

/** Returns the fault of an unusable data folder. */
export function storageFault(message: string, remedy?: string): Fault {
  return fault("storage", message, remedy === undefined ? {} : { remedy });
}

/** Runs file operations and converts an exception into a fault; `what` names them in its message. */
export async function catchStorageFault<T>(
  what: string,
  operation: () => Promise<T>,
): Promise<Result<T, Fault>> {
  try {
    return Ok(await operation());
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Err(storageFault(`${what} failed: ${reason}`));
  }
}

/** Returns the error code of a failed system call, for example `ENOENT`. */
export function errorCode(error: unknown): string | undefined {
  return error instanceof Error && "code" in error
    ? String(error.code)
    : undefined;
}

/** Syncs the directory entries of a folder. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Creates or replaces a file atomically: after a crash it is absent, old or complete. */
export async function writeDurably(
  path: string,
  content: Uint8Array,
): Promise<void> {
  const handle = await createDurably(
    path,
    (file) => writeFully(file, content, 0),
  );
  await handle.close();
}

/** Like `writeDurably`, with what a function writes, and keeps the file open for further writes. */
export async function createDurably(
  path: string,
  write: (file: FileHandle) => Promise<void>,
): Promise<FileHandle> {
  const temporary = path + TEMPORARY_SUFFIX;
  const handle = await open(temporary, "w");
  try {
    await write(handle);
    await handle.sync();
    await rename(temporary, path);
    await syncFolder(dirname(path));
    return handle;
  } catch (error) {
    await handle.close();
    await removeFile(temporary);
    throw error;
  }
}

/** Writes all bytes at a position, since a single call may write fewer. */
export async function writeFully(
  handle: FileHandle,
  content: Uint8Array,
  position: number,
): Promise<void> {
  let written = 0;
  while (written < content.length) {
    const length = content.length - written;
    const { bytesWritten } = await handle.write(
      content,
      written,
      length,
      position + written,
    );
    written += bytesWritten;
  }
}

/** Removes a file if it exists. */
export async function removeFile(path: string): Promise<void> {
  try {
    await unlink(path);
  } catch (error) {
    if (errorCode(error) !== "ENOENT") {
      throw error;
    }
  }
}
