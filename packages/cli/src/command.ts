/**
 * The interface of a command: its help, its options and its implementation.
 *
 * @module
 */
import type { Result } from "@quetzalcove/core";
import type { AdminClient } from "./admin_client.ts";
import type { Failure } from "./failure.ts";
import type { Runtime } from "./runtime.ts";

/** An option: `--name <value>` takes a value, `--name` is a flag. */
export interface Option {
  flags: string;
  summary: string;
}

/** Output of a command: `data` is printed with `--json`, `text` otherwise and when there is no data. */
export interface Report {
  text: string;
  data?: unknown;
}

export type CommandResult = Result<Report, Failure>;

/** The parsed options of a command line. */
export interface Options {
  flag(name: string): boolean;
  text(name: string): string | undefined;
  /** A whole number of at least 0. */
  count(name: string): Result<number | undefined, Failure>;
}

/** One run of a command. */
export interface Invocation {
  runtime: Runtime;
  args: readonly string[];
  options: Options;
  json: boolean;
  /** Time limit for waiting for a condition, in milliseconds. */
  timeoutMs: number;
  /** The client of the admin API, opened on first use. */
  connect(): Result<AdminClient, Failure>;
}

export interface Command {
  name: string;
  /** Parameters in the syntax of `cac`, for example `<vm>` or `<...files>`. */
  parameters: string;
  /** Parameters as the usage line shows them, if their meaning depends on the first one. */
  usage?: string;
  summary: string;
  details: string;
  options: readonly Option[];
  examples: readonly string[];
  run(invocation: Invocation): Promise<CommandResult>;
}
