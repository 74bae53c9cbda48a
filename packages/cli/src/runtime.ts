/**
 * The operating-system services that commands use. Tests substitute their own.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { readdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { Err, type Fault, fault, Ok, type Result } from "@quetzalcove/core";

/** Environment, output, files, time and random ids. */
export interface Runtime {
  environment: Readonly<Record<string, string | undefined>>;
  /** Whether standard output is a terminal. */
  interactive: boolean;
  print(text: string): void;
  printError(text: string): void;
  readText(path: string): Promise<Result<string, Fault>>;
  writeText(path: string, text: string): Promise<Result<void, Fault>>;
  /** Paths of the files directly in a folder, sorted by name. */
  listFiles(folder: string): Promise<Result<string[], Fault>>;
  /** Wall-clock time in milliseconds. */
  now(): number;
  sleep(ms: number): Promise<void>;
  newId(): string;
}

/** The runtime of the current process. */
export function processRuntime(): Runtime {
  return {
    environment: process.env,
    interactive: process.stdout.isTTY === true,
    print: (text) => void process.stdout.write(text),
    printError: (text) => void process.stderr.write(text),
    readText,
    writeText,
    listFiles,
    now: () => Date.now(),
    sleep: async (ms) => {
      await delay(ms);
    },
    newId: randomUUID,
  };
}

async function readText(path: string): Promise<Result<string, Fault>> {
  try {
    return Ok(await readFile(path, "utf8"));
  } catch (error) {
    return Err(describeFileError("read", path, error));
  }
}

async function writeText(
  path: string,
  text: string,
): Promise<Result<void, Fault>> {
  try {
    await writeFile(path, text);
    return Ok.EMPTY;
  } catch (error) {
    return Err(describeFileError("write", path, error));
  }
}

async function listFiles(folder: string): Promise<Result<string[], Fault>> {
  try {
    const entries = await readdir(folder, { withFileTypes: true });
    const files = entries.filter((entry) => entry.isFile());
    return Ok(files.map(({ name }) => join(folder, name)).sort());
  } catch (error) {
    return Err(describeFileError("read", folder, error));
  }
}

const FILE_ERRORS: Record<string, string> = {
  EACCES: "permission denied",
  EISDIR: "it is a folder",
  ENOENT: "no such file or folder",
  ENOSPC: "no space left on device",
  ENOTDIR: "it is not a folder",
};

function describeFileError(
  action: "read" | "write",
  path: string,
  error: unknown,
): Fault {
  const code = (error as NodeJS.ErrnoException).code ?? "unknown error";
  const reason = FILE_ERRORS[code] ?? code;
  return fault("invalid", `Cannot ${action} ${path}: ${reason}`, { path });
}
