/**
 * `quetzalcove export`: writes the newest inventory and rules to files.
 *
 * @module
 */
import { ConfigurationView, Err, Ok } from "@quetzalcove/core";
import type { Command, CommandResult, Invocation } from "../command.ts";
import { usageFailure, withReason } from "../failure.ts";
import { formatInventory } from "../inventory_text.ts";

export const EXPORT: Command = {
  name: "export",
  parameters: "",
  summary: "Write the newest inventory and rules to files",
  details: `
Use it to merge after another operator's change came first: export, make your change in
the files, and apply them with --base and the version that is printed here.`,
  options: [
    { flags: "--inventory <file>", summary: "Write the inventory here" },
    { flags: "--rules <file>", summary: "Write the rules here" },
  ],
  examples: ["export --inventory inventory.json --rules rules.json"],
  run,
};

async function run(invocation: Invocation): Promise<CommandResult> {
  const { options, runtime } = invocation;
  const inventoryPath = options.text("inventory");
  const rulesPath = options.text("rules");
  if (inventoryPath === undefined && rulesPath === undefined) {
    return Err(usageFailure("Give --inventory, --rules or both"));
  }
  const connected = invocation.connect();
  if (connected.err) {
    return connected;
  }
  const read = await connected.val.call({
    method: "GET",
    path: "/v1/configuration",
    answer: ConfigurationView,
  });
  if (read.err) {
    return read;
  }
  const { version, inventory, rules } = read.val;
  const texts = new Map([
    [inventoryPath, formatInventory(inventory)],
    [rulesPath, `${JSON.stringify(rules, null, 2)}\n`],
  ]);
  const files: string[] = [];
  for (const [path, text] of texts) {
    if (path === undefined) {
      continue;
    }
    const written = withReason("input", await runtime.writeText(path, text));
    if (written.err) {
      return written;
    }
    files.push(path);
  }
  return Ok({
    text: `Wrote version ${version}: ${files.join(", ")}\n`,
    data: { version, files },
  });
}
