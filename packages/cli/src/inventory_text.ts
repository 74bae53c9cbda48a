/**
 * Writes an inventory as JSON with one object to a line, so that a change of one VM is a change of one line.
 *
 * @module
 */
import type { Inventory } from "@quetzalcove/core";

/** The JSON text of an inventory. */
export function formatInventory(inventory: Inventory): string {
  const lists = Object.entries(inventory).map(([key, items]) =>
    `  "${key}": ${formatList(items)}`
  );
  return `{\n${lists.join(",\n")}\n}\n`;
}

function formatList(items: readonly object[]): string {
  if (items.length === 0) {
    return "[]";
  }
  const lines = items.map((item) => `    ${formatObject(item)}`);
  return `[\n${lines.join(",\n")}\n  ]`;
}

function formatObject(item: object): string {
  const members = Object.entries(item)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `"${key}": ${JSON.stringify(value)}`);
  return `{ ${members.join(", ")} }`;
}
