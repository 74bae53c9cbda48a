/**
 * Parses lines of node logs.
 *
 * @module
 */

/** One event that a node logged. */
export interface LogEvent {
  /** Time by the node's wall clock, in milliseconds. */
  at: number;
  node: string;
  event: string;
  /** The remaining keys and values, in the order of the line. */
  fields: ReadonlyMap<string, string>;
}

/** A key and its value; values with spaces, quotes or equals signs are quoted as JSON strings. */
const PAIR = /([A-Za-z]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?:\s+|$)/y;

const HEADER_KEYS = ["time", "level", "entry", "event"];

/** Parses a line; undefined if it is not a complete log event. */
export function parseLogLine(line: string): LogEvent | undefined {
  const pairs = new Map<string, string>();
  PAIR.lastIndex = 0;
  const text = line.trim();
  while (PAIR.lastIndex < text.length) {
    const [, key, value] = PAIR.exec(text) ?? [];
    if (key === undefined || value === undefined) {
      return undefined;
    }
    pairs.set(key, value.startsWith('"') ? unquote(value) : value);
  }
  const at = Date.parse(pairs.get("time") ?? "");
  const node = pairs.get("entry");
  const event = pairs.get("event");
  if (Number.isNaN(at) || node === undefined || event === undefined) {
    return undefined;
  }
  HEADER_KEYS.forEach((key) => pairs.delete(key));
  return { at, node, event, fields: pairs };
}

function unquote(text: string): string {
  try {
    return String(JSON.parse(text));
  } catch {
    // The value of a line truncated within an escape is returned as it is.
    return text;
  }
}
