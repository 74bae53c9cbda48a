/**
 * Human-readable text: aligned tables, durations and counts.
 *
 * @module
 */

/** A table column; numeric ones are right-aligned. */
export interface Column {
  heading: string;
  numeric?: boolean;
}

/** Formats rows under headings, aligned with spaces. */
export function formatTable(
  columns: readonly Column[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const cells = rows.map((row) => row.map(String));
  const widths = columns.map((column, index) =>
    Math.max(
      column.heading.length,
      ...cells.map((row) => row[index]?.length ?? 0),
    )
  );
  const formatRow = (row: readonly string[]): string =>
    columns.map((column, index) => {
      const cell = row[index] ?? "";
      const width = widths[index] ?? 0;
      return column.numeric ? cell.padStart(width) : cell.padEnd(width);
    }).join("  ").trimEnd();
  const lines = [formatRow(columns.map((column) => column.heading))];
  lines.push(...cells.map(formatRow));
  return `${lines.join("\n")}\n`;
}

/** Formats `name  value` lines with the values aligned. */
export function formatFields(
  fields: readonly (readonly [string, string | number])[],
): string {
  const width = Math.max(...fields.map(([name]) => name.length));
  return fields
    .map(([name, value]) => `${name.padEnd(width)}  ${value}\n`)
    .join("");
}

const UNITS: readonly (readonly [string, number])[] = [
  ["d", 86_400_000],
  ["h", 3_600_000],
  ["min", 60_000],
  ["s", 1_000],
];

/** Formats a duration in the largest unit that gives at least 1, for example `2.4 s`. */
export function formatDuration(ms: number): string {
  for (const [unit, size] of UNITS) {
    if (Math.abs(ms) >= size) {
      return `${formatNumber(ms / size)} ${unit}`;
    }
  }
  return `${formatNumber(ms)} ms`;
}

function formatNumber(value: number): string {
  return value.toFixed(1).replace(/\.0$/, "");
}

/** Formats a count with its noun, for example `1 VM` or `3 VMs`. */
export function formatCount(count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? "" : "s"}`;
}

/** Compares names so that `vm-9` comes before `vm-10`. */
export function compareNames(a: string, b: string): number {
  return COLLATOR.compare(a, b);
}

const COLLATOR = new Intl.Collator("en", { numeric: true });
