/**
 * Generates the configuration reference: the JSON Schema of each kind of file, and a Markdown page of their keys.
 *
 * @module
 */
import { Inventory, Rules, Settings } from "@quetzalcove/core";
import { SchedulerSettings } from "@quetzalcove/core/scheduling";
import { z } from "zod";
import { describeKeys } from "./reference_page.ts";

/** A generated file; its path is relative to the repository root. */
export interface GeneratedFile {
  path: string;
  text: string;
}

const UNKNOWN_KEYS =
  "A process that starts leaves out keys that it does not know and logs them, since\nprograms and settings change at different moments. It refuses a key that\nresembles one that is missing, and bad values. `--check` refuses every unknown\nkey.";

const SCHEMAS = [
  {
    path: "packages/daemon/settings.schema.json",
    title: "Settings of one daemon",
    intro:
      `One JSON file for each \`quetzalcoved\`. A change needs a restart of that daemon.\n\n${UNKNOWN_KEYS}`,
    schema: Settings,
  },
  {
    path: "platform/settings.schema.json",
    title: "Settings of one scheduler node",
    intro:
      `One JSON file for each \`quetzalcove-node\`. A change needs a restart of that\nnode.\n\n${UNKNOWN_KEYS}`,
    schema: SchedulerSettings,
  },
  {
    path: "packages/core/inventory.schema.json",
    title: "Inventory",
    intro:
      "The machines. Made by `quetzalcove import`, put in force by `quetzalcove apply`.",
    schema: Inventory,
  },
  {
    path: "packages/core/rules.schema.json",
    title: "Rules",
    intro:
      "Services, budgets, maintenance and quotas. Put in force by `quetzalcove apply`.",
    schema: Rules,
  },
] as const;

/** Generates every schema and `docs/CONFIGURATION.md`. */
export function generateReference(): GeneratedFile[] {
  const documents = SCHEMAS.map(({ path, title, intro, schema }) => {
    const json = z.toJSONSchema(schema, { io: "input" });
    return { path, title, intro, json: { title, ...json } };
  });
  const files = documents.map(({ path, json }) => ({
    path,
    text: `${JSON.stringify(json, null, 2)}\n`,
  }));
  const page = { path: "docs/CONFIGURATION.md", text: describeKeys(documents) };
  return [...files, page];
}
