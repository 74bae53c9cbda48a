/**
 * Starts the processes of an example and waits for them.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, mkdirSync, openSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { request } from "undici";

/** How a process ended. */
export interface Ending {
  code: number | null;
  signal: NodeJS.Signals | null;
}

/** One process whose output goes to a file. */
export class Child {
  readonly name: string;
  readonly #process: ChildProcess;
  readonly #ended: Promise<Ending>;

  constructor(name: string, command: readonly string[], logFile: string) {
    this.name = name;
    const log = openSync(logFile, "a");
    this.#process = spawn(process.execPath, [...command], {
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    this.#ended = new Promise((resolve) => {
      this.#process.once("exit", (code, signal) => resolve({ code, signal }));
    });
  }

  /** Waits for the end of the process. */
  get ended(): Promise<Ending> {
    return this.#ended;
  }

  signal(name: NodeJS.Signals): void {
    this.#process.kill(name);
  }

  /** Asks the process to end and waits for it. */
  stop(): Promise<Ending> {
    this.signal("SIGTERM");
    return this.#ended;
  }
}

/** A folder for logs that is created when it is not there. */
export function logFolder(path: string): string {
  mkdirSync(path, { recursive: true });
  return path;
}

/** The log file of a process. */
export function logFileOf(folder: string, name: string): string {
  return join(folder, `${name}.log`);
}

const POLL_MS = 50;

/** Repeats a check until it holds; false when the time in milliseconds is over. */
export async function eventually(
  check: () => Promise<boolean> | boolean,
  limitMs: number,
): Promise<boolean> {
  const deadline = performance.now() + limitMs;
  while (performance.now() < deadline) {
    if (await check()) {
      return true;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  return false;
}

/** Calls the administration API and returns the JSON answer; undefined when there is none. */
export async function callAdmin<T>(
  address: string,
  path: string,
  body?: unknown,
): Promise<{ status: number; value: T } | undefined> {
  try {
    const answer = await request(`http://${address}${path}`, {
      method: body === undefined ? "GET" : "POST",
      ...(body !== undefined && { body: JSON.stringify(body) }),
    });
    const text = await answer.body.text();
    return { status: answer.statusCode, value: JSON.parse(text) as T };
  } catch {
    return undefined;
  }
}
