/**
 * Renders the keys of JSON Schemas as a Markdown page.
 *
 * @module
 */
import type { z } from "zod";

type JsonSchema = z.core.JSONSchema.BaseSchema;

/** The schema of one kind of file, with its section heading and introduction. */
export interface SchemaDocument {
  path: string;
  title: string;
  intro: string;
  json: JsonSchema;
}

/** One row of the key table. */
interface KeyRow {
  path: string;
  unit: string;
  defaultValue: string;
  meaning: string;
}

const HEADINGS: KeyRow = {
  path: "Key",
  unit: "Value",
  defaultValue: "Default",
  meaning: "Meaning",
};

/** Renders one page with a table of keys for each document. */
export function describeKeys(documents: readonly SchemaDocument[]): string {
  const sections = documents.map(({ path, title, intro, json }) =>
    [
      `## ${title}`,
      intro,
      schemaLine(path),
      formatMarkdownTable(keysOf(json, "")),
    ].join("\n\n")
  );
  return `${[INTRO, ...sections].join("\n\n")}\n`;
}

/** Line length at which `deno fmt` wraps Markdown, in characters. */
const LINE_LENGTH = 80;

function schemaLine(path: string): string {
  const label = "JSON Schema:";
  const link = `[${path}](../${path})`;
  const fits = label.length + 1 + link.length <= LINE_LENGTH;
  return `${label}${fits ? " " : "\n"}${link}`;
}

const INTRO = `# Configuration

Generated from the schemas by \`npm run schemas\`; edit the schemas, not this
page.

All files are JSON. Unknown keys are refused, and the refusal names the nearest
known key. \`quetzalcove config check FILE...\` checks files without a daemon. A
key written \`peers[].entry\` stands in each item of the list \`peers\`.

Units stand at the end of a key: \`Ms\` milliseconds, \`Bytes\` bytes, \`Gb\`
gigabytes (2^30 bytes), \`Share\` a share from 0 to 1. An IP address and port is
written \`127.0.1.1:8080\` or \`[::1]:8080\`.

Addresses, zones and peers of a daemon come from its settings alone; nothing is
discovered.`;

function formatMarkdownTable(keys: readonly KeyRow[]): string {
  const rows = [HEADINGS, ...keys].map((key) => [
    key === HEADINGS ? key.path : `\`${key.path}\``,
    key.unit,
    key.defaultValue,
    key.meaning,
  ]);
  const widths = [0, 1, 2, 3].map((column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  );
  const formatRow = (row: readonly string[]): string =>
    `| ${row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join(" | ")} |`;
  const [head = [], ...body] = rows;
  const rule = widths.map((width) => "-".repeat(width));
  return [formatRow(head), formatRow(rule), ...body.map(formatRow)].join("\n");
}

function keysOf(schema: JsonSchema, prefix: string): KeyRow[] {
  const required = schema.required ?? [];
  return Object.entries(schema.properties ?? {}).flatMap(([name, value]) => {
    const property = value as JsonSchema;
    const path = prefix === "" ? name : `${prefix}.${name}`;
    const items = property.items as JsonSchema | undefined;
    if (property.type === "object") {
      return keysOf(property, path);
    }
    const key = describeKey(property, {
      path,
      name,
      required: required.includes(name),
    });
    return items?.type === "object"
      ? [key, ...keysOf(items, `${path}[]`)]
      : [key];
  });
}

function describeKey(
  schema: JsonSchema,
  key: { path: string; name: string; required: boolean },
): KeyRow {
  return {
    path: key.path,
    unit: unitOf(schema, key.name),
    defaultValue: key.required ? "required" : defaultOf(schema, key.name),
    meaning: schema.description ?? "",
  };
}

const UNITS: readonly (readonly [string, string])[] = [
  ["Ms", "milliseconds"],
  ["Bytes", "bytes"],
  ["Gb", "gigabytes"],
  ["Share", "share, 0 to 1"],
];

function unitOf(schema: JsonSchema, name: string): string {
  const unit = UNITS.find(([suffix]) => name.endsWith(suffix))?.[1];
  if (unit !== undefined) {
    return unit;
  }
  if (schema.enum !== undefined) {
    return schema.enum.map((value) => `\`${value}\``).join(", ");
  }
  if (schema.type === "array") {
    return "list";
  }
  if (schema.type === "boolean") {
    return "`true` or `false`";
  }
  if (schema.type === "string") {
    return describeString(schema);
  }
  return schema.type === "integer" ? "whole number" : "number";
}

function describeString(schema: JsonSchema): string {
  const pattern = schema.pattern ?? "";
  if (pattern.startsWith("^[a-z0-9]")) {
    return "name";
  }
  if (pattern.includes("[0-9a-f:]+")) {
    return "IP address and port";
  }
  if (pattern.includes("[0-5]\\d")) {
    return "time of day, `hh:mm`";
  }
  return schema.format === "uri" ? "URL" : "text";
}

const DURATION_UNITS: readonly (readonly [string, number])[] = [
  ["d", 86_400_000],
  ["h", 3_600_000],
  ["min", 60_000],
];

function defaultOf(schema: JsonSchema, name: string): string {
  const value = schema.default;
  if (value === undefined) {
    return "none";
  }
  const unit = name.endsWith("Ms") &&
    DURATION_UNITS.find(([, size]) => Number(value) >= size);
  const hint = unit ? ` (${Number(value) / unit[1]} ${unit[0]})` : "";
  return `\`${JSON.stringify(value)}\`${hint}`;
}
