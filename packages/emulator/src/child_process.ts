/**
 * Child processes of demonstrations and tests, and helpers that wait for them and call their administration API.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, mkdirSync, openSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { request } from "undici";

/** Exit status of a process: the exit code, or the signal that ended it. */
export interface ProcessExit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

/** A child process whose output is appended to a log file. */
export class Child {
  readonly name: string;
  readonly #process: ChildProcess;
  readonly #ended: Promise<ProcessExit>;

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

  /** Resolves once the process has exited. */
  get ended(): Promise<ProcessExit> {
    return this.#ended;
  }

  /** Process id; undefined if the process could not be started. */
  get pid(): number | undefined {
    return this.#process.pid;
  }

  signal(name: NodeJS.Signals): void {
    this.#process.kill(name);
  }

  /** Sends SIGTERM and resolves once the process has exited. */
  stop(): Promise<ProcessExit> {
    this.signal("SIGTERM");
    return this.#ended;
  }
}

/** Creates a folder for log files if it does not exist, and returns its path. */
export function ensureLogFolder(path: string): string {
  mkdirSync(path, { recursive: true });
  return path;
}

/** Path of the log file of a process. */
export function logFilePath(folder: string, name: string): string {
  return join(folder, `${name}.log`);
}

const POLL_INTERVAL_MS = 50;

/** Polls a condition until it holds; returns false after the timeout. */
export async function eventually(
  condition: () => Promise<boolean> | boolean,
  timeoutMs: number,
): Promise<boolean> {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await condition()) {
      return true;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  return false;
}

/**
 * Calls the administration API, with POST if there is a body, and returns the status and the JSON answer. Undefined if
 * the call failed.
 */
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
