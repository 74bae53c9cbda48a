/**
 * Logs: one line of key=value pairs for each event.
 *
 * @module
 */
import { boundedOutput } from "./bounded_output.ts";
import { createLogger, format, type Logger, transports } from "winston";

/** File descriptor of standard output. */
const STDOUT = 1;

/** Values of one event. Undefined values are left out. */
export type Fields = Record<string, string | number | boolean | undefined>;

export interface Log {
  debug(event: string, fields?: Fields): void;
  info(event: string, fields?: Fields): void;
  warn(event: string, fields?: Fields): void;
  error(event: string, fields?: Fields): void;
}

/** Where and how much to log. Without a file, events go to standard error. */
export interface LogTarget {
  level: string;
  file?: string;
  /** Where events go without a file; standard error by default. */
  output?: "stderr" | "stdout";
  entry: string;
}

/** Opens the log of one process. */
export function openLog(target: LogTarget): Log {
  const logger = createLogger({
    level: target.level,
    format: format.printf((info) => String(info.message)),
    transports: [
      target.output === "stdout"
        ? new transports.Stream({ stream: boundedOutput(STDOUT) })
        : target.file === undefined
        ? new transports.Console({
          stderrLevels: ["error", "warn", "info", "debug"],
        })
        : new transports.File({ filename: target.file }),
    ],
  });
  return logOf(logger, target.entry);
}

function logOf(logger: Logger, entry: string): Log {
  const write = (level: string, event: string, fields: Fields = {}): void => {
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

/** Writes fields as key=value pairs; a value with spaces, quotes or line ends is quoted as JSON. */
export function formatEvent(fields: Fields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${quote(String(value))}`)
    .join(" ");
}

function quote(value: string): string {
  return /^[^\s"=\\]+$/.test(value) ? value : JSON.stringify(value);
}

/** The message of something that was thrown. */
export function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
