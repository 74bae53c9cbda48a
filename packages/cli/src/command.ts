/**
 * The shape of a command: its help, its options and what it does.
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

/** What a command reports: text for people, data for `--json`; without data the text serves both. */
export interface Report {
  text: string;
  data?: unknown;
}

export type CommandResult = Result<Report, Failure>;

/** The parsed command line. */
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
  /** How long a command may wait for a condition, in milliseconds. */
  timeoutMs: number;
  /** The client of the admin API, opened on first use. */
  connect(): Result<AdminClient, Failure>;
}

export interface Command {
  name: string;
  /** Parameters as the help shows them, for example `<vm>` or `[files...]`. */
  parameters: string;
  /** How the help shows the parameters, when they depend on the first one. */
  usage?: string;
  summary: string;
  details: string;
  options: readonly Option[];
  examples: readonly string[];
  run(invocation: Invocation): Promise<CommandResult>;
}
