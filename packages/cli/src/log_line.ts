/**
 * Lines of the nodes' logs.
 *
 * @module
 */

/** One event that a node logged. */
export interface LogEvent {
  /** Wall-clock time of the node, in milliseconds. */
  at: number;
  node: string;
  event: string;
  /** Inputs and outcome, in the order of the line. */
  fields: ReadonlyMap<string, string>;
}

/** A key and its value, which is quoted as JSON when it holds spaces, quotes or equals signs. */
const PAIR = /([A-Za-z]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?:\s+|$)/y;

const HEADER_KEYS = ["time", "level", "entry", "event"];

/** Reads a line; undefined when it is none of a node's log. */
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
    // A line that was cut within an escape is shown as it is.
    return text;
  }
}
