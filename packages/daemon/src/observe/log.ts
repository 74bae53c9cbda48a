/**
 * Structured logs: one line of key=value pairs per event.
 *
 * @module
 */
import { boundedOutput } from "./bounded_output.ts";
import { createLogger, format, type Logger, transports } from "winston";

/** File descriptor of standard output. */
const STDOUT_DESCRIPTOR = 1;

/** Fields of one event. Undefined values are omitted. */
export type LogFields = Record<string, string | number | boolean | undefined>;

export interface Log {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Level and destination of a log. */
export interface LogOptions {
  level: string;
  file?: string;
  /** Standard output takes precedence over `file`; without either, events go to standard error. */
  output?: "stderr" | "stdout";
  entry: string;
}

/** Opens the log of one process. */
export function openLog(options: LogOptions): Log {
  const logger = createLogger({
    level: options.level,
    format: format.printf((info) => String(info.message)),
    transports: [
      options.output === "stdout"
        ? new transports.Stream({ stream: boundedOutput(STDOUT_DESCRIPTOR) })
        : options.file === undefined
        ? new transports.Console({
          stderrLevels: ["error", "warn", "info", "debug"],
        })
        : new transports.File({ filename: options.file }),
    ],
  });
  return createLog(logger, options.entry);
}

function createLog(logger: Logger, entry: string): Log {
  const write = (
    level: string,
    event: string,
    fields: LogFields = {},
  ): void => {
    logger.log(
      level,
      formatEvent({
        time: new Date().toISOString(),
        level,
        entry,
        event,
        ...fields,
      }),
    );
  };
  return {
    debug: (event, fields) => write("debug", event, fields),
    info: (event, fields) => write("info", event, fields),
    warn: (event, fields) => write("warn", event, fields),
    error: (event, fields) => write("error", event, fields),
  };
}

/** Formats fields as key=value pairs; an empty value, or one with spaces or any of `"=\`, is quoted as JSON. */
export function formatEvent(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${quote(String(value))}`)
    .join(" ");
}

function quote(value: string): string {
  return /^[^\s"=\\]+$/.test(value) ? value : JSON.stringify(value);
}

/** Returns the message of a thrown value. */
export function errorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
