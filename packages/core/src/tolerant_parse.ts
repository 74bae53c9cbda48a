/**
 * Parsing of settings that may be of another version than the program.
 *
 * Programs and settings change at different moments: in an update in steps, after a return to the version before, or when a
 * template is rolled out first. A key that the program does not know must not end every process at once, so it is left out
 * and reported. A key that resembles one that is missing is a typing mistake and refused: the value that was meant would be
 * lost.
 *
 * @module
 */
import type { z } from "zod";
import type { Fault } from "./fault.ts";
import type { Result } from "./result.ts";
import { keysAt } from "./schema_keys.ts";
import { editDistance, type Finding, parse, toFindings } from "./validate.ts";

/** A value without the keys that its schema does not know. */
export interface TolerantResult<T> {
  value: T;
  /** The keys that were left out. */
  ignored: Finding[];
}

/** As `parse`, but leaves unknown keys out, other than misspelt ones. Bad and missing values are refused. */
export function parseTolerantly<T extends z.ZodType>(
  schema: T,
  value: unknown,
  what: string,
): Result<TolerantResult<z.output<T>>, Fault> {
  const strict = parse(schema, value, what);
  if (strict.ok) {
    return strict.map((parsed) => ({ value: parsed, ignored: [] }));
  }
  const known = structuredClone(value);
  const ignored = unknownKeys(schema, known).flatMap((issue) => {
    const object = issue.input as Record<string, unknown>;
    const schemaKeys = keysAt(schema, issue.path);
    const keys = issue.keys.filter((key) =>
      !schemaKeys.some((other) =>
        !Object.hasOwn(object, other) && isMisspelling(key, other)
      )
    );
    keys.forEach((key) => delete object[key]);
    return toFindings({ ...issue, keys }, schema);
  });
  return parse(schema, known, what).map((parsed) => ({
    value: parsed,
    ignored,
  }));
}

/** Whether a key is probably a misspelt form of another: one edit in four characters, two edits at most. */
export function isMisspelling(key: string, other: string): boolean {
  const maxEdits = Math.min(2, Math.floor(other.length / 4));
  return editDistance(key.toLowerCase(), other.toLowerCase()) <= maxEdits;
}

function unknownKeys(
  schema: z.ZodType,
  value: unknown,
): z.core.$ZodIssueUnrecognizedKeys[] {
  const { error } = schema.safeParse(value, { reportInput: true });
  return (error?.issues ?? []).filter((issue) =>
    issue.code === "unrecognized_keys"
  );
}
