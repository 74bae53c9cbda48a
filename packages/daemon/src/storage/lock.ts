/**
 * A lock file that prevents two processes from using the same data folder. It names its holder by process id and start
 * time, so that a stale lock of an ended process is recognized even when the id was reused.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { link, readFile, rename, writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import { z } from "zod";
import { Err, type Fault, Ok, type Result } from "@quetzalcove/core";
import {
  catchStorageFault,
  errorCode,
  removeFile,
  storageFault,
  TEMPORARY_SUFFIX,
} from "./files.ts";

const LOCK_FILE = "lock";

/** Field of /proc/<pid>/stat, counted after the command name, that holds the start time (proc(5), field 22). */
const START_TIME_FIELD = 19;

const Holder = z.object({
  pid: z.number().int(),
  /** Boot id and start time of the process; empty if the system does not provide them. */
  started: z.string(),
  nonce: z.string(),
});
type Holder = z.infer<typeof Holder>;

/** A held lock. */
export interface FolderLock {
  release(): Promise<void>;
}

/** Acquires the lock of a folder. */
export type LockFunction = (
  folder: string,
) => Promise<Result<FolderLock, Fault>>;

/** Acquires no lock: for folders that the platform assigns to one process at a time, on disks without hard links. */
export const skipLock: LockFunction = () =>
  Promise.resolve(Ok({ release: () => Promise.resolve() }));

/** Acquires the lock of a folder, replacing the lock of a process that has ended. */
export async function lockFolder(
  folder: string,
): Promise<Result<FolderLock, Fault>> {
  const locked = await catchStorageFault(
    "Locking the data folder",
    async () => {
      const own = await currentHolder();
      const path = join(folder, LOCK_FILE);
      const holder = await acquire(path, own);
      return { path, own, holder };
    },
  );
  return locked.andThen(({ path, own, holder }) =>
    holder === undefined
      ? Ok({ release: () => release(path, own) })
      : Err(inUseFault(folder, holder))
  );
}

/** Returns the other holder of the lock, or undefined if it was acquired. */
async function acquire(path: string, own: Holder): Promise<Holder | undefined> {
  if (await createLockFile(path, own)) {
    return undefined;
  }
  const holder = await readHolder(path);
  if (holder !== undefined && await isRunning(holder)) {
    return holder;
  }
  const newHolder = await removeStaleLock(path, holder);
  if (newHolder !== undefined) {
    return newHolder;
  }
  return await createLockFile(path, own)
    ? undefined
    : await readHolder(path) ?? own;
}

/** Creates the lock file atomically with its content; returns false if it exists. */
async function createLockFile(path: string, own: Holder): Promise<boolean> {
  const temporary = `${path}-${own.nonce}${TEMPORARY_SUFFIX}`;
  await writeFile(temporary, JSON.stringify(own));
  try {
    await link(temporary, path);
    return true;
  } catch (error) {
    if (errorCode(error) === "EEXIST") {
      return false;
    }
    throw error;
  } finally {
    await removeFile(temporary);
  }
}

/** Removes a stale lock. If another process has replaced it in the meantime, its lock is restored and returned. */
async function removeStaleLock(
  path: string,
  stale: Holder | undefined,
): Promise<Holder | undefined> {
  const movedPath = `${path}-${randomNonce()}${TEMPORARY_SUFFIX}`;
  try {
    await rename(path, movedPath);
  } catch (error) {
    if (errorCode(error) === "ENOENT") {
      return undefined;
    }
    throw error;
  }
  const moved = await readHolder(movedPath);
  const isOther = moved !== undefined && moved.nonce !== stale?.nonce;
  if (isOther) {
    await link(movedPath, path);
  }
  await removeFile(movedPath);
  return isOther ? moved : undefined;
}

async function release(path: string, own: Holder): Promise<void> {
  const holder = await readHolder(path);
  if (holder?.nonce === own.nonce) {
    await removeFile(path);
  }
}

async function readHolder(path: string): Promise<Holder | undefined> {
  try {
    const text = await readFile(path, "utf8");
    return Holder.safeParse(JSON.parse(text)).data;
  } catch (error) {
    if (errorCode(error) === "ENOENT" || error instanceof SyntaxError) {
      return undefined;
    }
    throw error;
  }
}

async function currentHolder(): Promise<Holder> {
  const { pid } = process;
  const started = await startTimeOf(pid) ?? "";
  return { pid, started, nonce: randomNonce() };
}

async function isRunning({ pid, started }: Holder): Promise<boolean> {
  if (!processExists(pid)) {
    return false;
  }
  const current = await startTimeOf(pid);
  return current === undefined || current === started;
}

function processExists(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch (error) {
    return errorCode(error) === "EPERM";
  }
}

async function startTimeOf(pid: number): Promise<string | undefined> {
  try {
    const boot = await readFile("/proc/sys/kernel/random/boot_id", "utf8");
    const stat = await readFile(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return `${boot.trim()}/${fields[START_TIME_FIELD]}`;
  } catch {
    return undefined;
  }
}

function randomNonce(): string {
  return randomBytes(8).toString("hex");
}

function inUseFault(folder: string, { pid }: Holder): Fault {
  return storageFault(
    `Data folder "${folder}" is in use by process ${pid}`,
    "Stop that process, or give this one its own data folder",
  );
}
