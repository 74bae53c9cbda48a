/**
 * Files that survive a crash: written to a temporary name, synced, renamed, and the folder synced.
 *
 * @module
 */
import { type FileHandle, open, rename, unlink } from "node:fs/promises";
import { dirname } from "node:path";
import { Err, type Fault, fault, Ok, type Result } from "@quetzalcove/core";

/** Suffix of files that are not complete; they are removed when the folder is opened. */
export const TEMPORARY_SUFFIX = ".tmp";

/** Builds the fault of a data folder that cannot be used. */
export function storageFault(message: string, remedy?: string): Fault {
  return fault("storage", message, remedy === undefined ? {} : { remedy });
}

/** Runs file operations and turns their exceptions into a fault. */
export async function attempt<T>(
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

/** The error code of a failed system call, for example `ENOENT`. */
export function codeOf(error: unknown): string | undefined {
  return error instanceof Error && "code" in error
    ? String(error.code)
    : undefined;
}

/** Makes the names in a folder durable. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Creates or replaces a file so that it is either absent, old or complete after a crash. */
export async function writeDurably(
  path: string,
  content: Uint8Array,
): Promise<void> {
  const handle = await createDurably(path, content);
  await handle.close();
}

/** Like `writeDurably`, and keeps the file open for further writes. */
export async function createDurably(
  path: string,
  content: Uint8Array,
): Promise<FileHandle> {
  const temporary = path + TEMPORARY_SUFFIX;
  const handle = await open(temporary, "w");
  try {
    await writeFully(handle, content, 0);
    await handle.sync();
    await rename(temporary, path);
    await syncFolder(dirname(path));
    return handle;
  } catch (error) {
    await handle.close();
    throw error;
  }
}

/** Writes all bytes at a position; a single write call may be short. */
export async function writeFully(
  handle: FileHandle,
  content: Uint8Array,
  position: number,
): Promise<void> {
  let done = 0;
  while (done < content.length) {
    const length = content.length - done;
    const { bytesWritten } = await handle.write(
      content,
      done,
      length,
      position + done,
    );
    done += bytesWritten;
  }
}

/** Removes a file if it exists. */
export async function removeFile(path: string): Promise<void> {
  try {
    await unlink(path);
  } catch (error) {
    if (codeOf(error) !== "ENOENT") {
      throw error;
    }
  }
}
