/**
 * Writes the generated reference files into the repository.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { generateReference } from "@quetzalcove/cli";

const root = new URL("../", import.meta.url);
for (const { path, text } of generateReference()) {
  writeFileSync(new URL(path, root), text);
}
