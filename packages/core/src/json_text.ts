/**
 * JSON parsing that reports the line and column of the first error.
 *
 * @module
 */
import { type Fault, fault } from "./fault.ts";
import { Err, Ok, type Result } from "./result.ts";

/** Parses JSON; the fault names the file, line and column of the first error. */
export function parseJson(
  text: string,
  fileName: string,
): Result<unknown, Fault> {
  try {
    return Ok(JSON.parse(text));
  } catch (error) {
    return Err(describeError(text, fileName, error as SyntaxError));
  }
}

function describeError(
  text: string,
  fileName: string,
  error: SyntaxError,
): Fault {
  const { line, column } = lineAndColumn(text, errorOffset(text));
  const reason = withoutPosition(error.message);
  return fault(
    "invalid",
    `${fileName}:${line}:${column}: broken JSON: ${reason}`,
    {
      path: `${fileName}:${line}:${column}`,
      remedy: "Correct the text at this line and column",
    },
  );
}

/** The parser's message without the position of the error. */
function withoutPosition(message: string): string {
  return message
    .replace(/ in JSON at position \d+.*$/s, "")
    .replace(/ (after JSON) at position \d+.*$/s, " $1")
    .replace(/, .* is not valid JSON$/s, "");
}

/**
 * The offset of the first error. Not every message of the parser contains an offset, so this bisects for the shortest
 * prefix with an error before its end.
 */
function errorOffset(text: string): number {
  let validLength = 0;
  let invalidLength = text.length + 1;
  while (invalidLength - validLength > 1) {
    const middle = (validLength + invalidLength) >>> 1;
    if (hasInnerError(text.slice(0, middle))) {
      invalidLength = middle;
    } else {
      validLength = middle;
    }
  }
  return invalidLength > text.length ? text.length : invalidLength - 1;
}

/** Whether a prefix has an error that no continuation can make valid. */
function hasInnerError(prefix: string): boolean {
  try {
    JSON.parse(prefix);
    return false;
  } catch (error) {
    const { message } = error as SyntaxError;
    const offset = /at position (\d+)/.exec(message)?.[1];
    if (offset !== undefined) {
      return Number(offset) < prefix.length;
    }
    return !message.startsWith("Unexpected end");
  }
}

/** The line and column of an offset into a text, both counted from 1. */
export function lineAndColumn(
  text: string,
  offset: number,
): { line: number; column: number } {
  const before = text.slice(0, offset).split("\n");
  return { line: before.length, column: (before.at(-1) ?? "").length + 1 };
}
