/**
 * A lock file that keeps two processes out of one data folder. It names its holder by process id and start time, so
 * that the lock of a process that is gone can be told from one in use.
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
  attempt,
  codeOf,
  removeFile,
  storageFault,
  TEMPORARY_SUFFIX,
} from "./files.ts";

const LOCK_FILE = "lock";

/** Field of /proc/<pid>/stat, counted after the command name, that holds the start time (proc(5), field 22). */
const START_TIME_FIELD = 19;

const Holder = z.object({
  pid: z.number().int(),
  /** Boot and start time of the process; empty where the system does not tell. */
  started: z.string(),
  nonce: z.string(),
});
type Holder = z.infer<typeof Holder>;

/** A held lock. */
export interface FolderLock {
  release(): Promise<void>;
}

/** Takes the lock of a folder. */
export type LockFolder = (folder: string) => Promise<Result<FolderLock, Fault>>;

/** Takes no lock: for folders that the platform gives to one process at a time, on disks without hard links. */
export const trustExclusiveFolder: LockFolder = () =>
  Promise.resolve(Ok({ release: () => Promise.resolve() }));

/** Takes the lock of a folder, also from a process that is gone. */
export async function lockFolder(
  folder: string,
): Promise<Result<FolderLock, Fault>> {
  const locked = await attempt("Locking the data folder", async () => {
    const own = await ownHolder();
    const path = join(folder, LOCK_FILE);
    const holder = await acquire(path, own);
    return { path, own, holder };
  });
  return locked.andThen(({ path, own, holder }) =>
    holder === undefined
      ? Ok({ release: () => release(path, own) })
      : Err(inUse(folder, holder))
  );
}

/** Returns the holder that keeps the lock, or undefined when it was acquired. */
async function acquire(path: string, own: Holder): Promise<Holder | undefined> {
  if (await claim(path, own)) {
    return undefined;
  }
  const holder = await readHolder(path);
  if (holder !== undefined && await isRunning(holder)) {
    return holder;
  }
  const seized = await seize(path, holder);
  if (seized !== undefined) {
    return seized;
  }
  return await claim(path, own) ? undefined : await readHolder(path) ?? own;
}

/** Creates the lock file with its content in one step. */
async function claim(path: string, own: Holder): Promise<boolean> {
  const temporary = `${path}-${own.nonce}${TEMPORARY_SUFFIX}`;
  await writeFile(temporary, JSON.stringify(own));
  try {
    await link(temporary, path);
    return true;
  } catch (error) {
    if (codeOf(error) === "EEXIST") {
      return false;
    }
    throw error;
  } finally {
    await removeFile(temporary);
  }
}

/** Moves a stale lock away. If another process replaced it meanwhile, its lock is put back and returned. */
async function seize(
  path: string,
  stale: Holder | undefined,
): Promise<Holder | undefined> {
  const aside = `${path}-${randomNonce()}${TEMPORARY_SUFFIX}`;
  try {
    await rename(path, aside);
  } catch (error) {
    if (codeOf(error) === "ENOENT") {
      return undefined;
    }
    throw error;
  }
  const moved = await readHolder(aside);
  const isOther = moved !== undefined && moved.nonce !== stale?.nonce;
  if (isOther) {
    await link(aside, path);
  }
  await removeFile(aside);
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
    if (codeOf(error) === "ENOENT" || error instanceof SyntaxError) {
      return undefined;
    }
    throw error;
  }
}

async function ownHolder(): Promise<Holder> {
  const { pid } = process;
  const started = await startTimeOf(pid) ?? "";
  return { pid, started, nonce: randomNonce() };
}

async function isRunning({ pid, started }: Holder): Promise<boolean> {
  if (!exists(pid)) {
    return false;
  }
  const current = await startTimeOf(pid);
  return current === undefined || current === started;
}

function exists(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch (error) {
    return codeOf(error) === "EPERM";
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

function inUse(folder: string, { pid }: Holder): Fault {
  return storageFault(
    `Data folder "${folder}" is in use by process ${pid}`,
    "Stop that process, or give this one its own data folder",
  );
}
