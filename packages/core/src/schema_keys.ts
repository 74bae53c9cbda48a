/**
 * The known keys of a schema at a path, for suggestions when a key is misspelt.
 *
 * @module
 */
import { z } from "zod";

/** The keys of the object schema at a path; empty when there is no object schema. */
export function keysAt(
  schema: z.core.$ZodType,
  path: readonly PropertyKey[],
): string[] {
  const found = path.reduce<z.core.$ZodType | undefined>(
    (current, part) => current && member(unwrap(current), part),
    schema,
  );
  const object = found && unwrap(found);
  return object instanceof z.ZodObject ? Object.keys(object.shape) : [];
}

/** The schema inside optional, default and similar wrappers. */
export function unwrap(schema: z.core.$ZodType): z.core.$ZodType {
  let current = schema;
  while (
    current instanceof z.ZodOptional || current instanceof z.ZodDefault ||
    current instanceof z.ZodPrefault || current instanceof z.ZodNullable
  ) {
    current = current.unwrap();
  }
  return current;
}

function member(
  schema: z.core.$ZodType,
  part: PropertyKey,
): z.core.$ZodType | undefined {
  if (schema instanceof z.ZodObject) {
    return schema.shape[String(part)];
  }
  if (schema instanceof z.ZodArray) {
    return schema.element;
  }
  return schema instanceof z.ZodRecord ? schema.valueType : undefined;
}
