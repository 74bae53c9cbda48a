/**
 * Formats an inventory as JSON with one object per line, so that a change to one VM is a one-line diff.
 *
 * @module
 */
import type { Inventory } from "@quetzalcove/core";

/** Formats an inventory as JSON text that ends with a newline. */
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
