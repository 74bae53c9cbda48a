/**
 * `quetzalcove config check`: validates files without a daemon.
 *
 * @module
 */
import { Err, type Fault, type Finding, Ok } from "@quetzalcove/core";
import type { Command, CommandResult, Invocation } from "../command.ts";
import { crossCheck } from "../cross_check.ts";
import { type Failure, usageFailure } from "../failure.ts";
import { type InputFile, readInputFile } from "../input_files.ts";
import { formatCount } from "../format.ts";

export const CONFIG: Command = {
  name: "config",
  parameters: "<action> <...files>",
  usage: "check <file>...",
  summary: "Check files before they are used, without a daemon",
  details: `
Takes settings, inventories and rules in JSON and asset registers in CSV (*.csv). The kind
of a JSON file is detected from its keys. Each file is checked by itself, then all against
each other: rules against the inventory, settings against the other settings and against
the zones of the inventory. Warnings report what is allowed but risky.`,
  options: [],
  examples: [
    "config check inventory.json rules.json",
    "config check settings/*.json inventory.json",
    "config check register.csv rules.json",
  ],
  run,
};

async function run(invocation: Invocation): Promise<CommandResult> {
  const [action, ...paths] = invocation.args;
  if (action !== "check") {
    return Err(usageFailure(`The action is check, not "${action}"`));
  }
  const files: InputFile[] = [];
  const failures: Failure[] = [];
  for (const path of paths) {
    const read = await readInputFile(invocation.runtime, path);
    if (read.ok) {
      files.push(read.val);
    } else {
      failures.push(read.val);
    }
  }
  const [first, ...others] = failures;
  if (first !== undefined) {
    return Err(mergeFailures(first, others));
  }
  return crossCheck(files).andThen((warnings) =>
    Ok({
      text: files.map((file) => `${file.path}: ${describe(file)}\n`).join("") +
        warnings.map((w) => `Warning: ${w.path}: ${w.message}\n`).join(""),
      data: {
        files: files.map(({ path, kind }) => ({ path, kind })),
        warnings,
      },
    })
  );
}

/** Merges the failures of several files into one. */
function mergeFailures(first: Failure, others: readonly Failure[]): Failure {
  if (others.length === 0) {
    return first;
  }
  const causes = [first, ...others].flatMap(({ fault }) =>
    fault.causes?.map((cause) => ({
      path: `${fileOf(fault.message)}: ${cause.path}`,
      message: cause.message,
    })) ?? [findingOf(fault)]
  );
  const message = `${others.length + 1} files are invalid`;
  return {
    reason: "input",
    fault: { kind: "invalid", message, causes },
  };
}

/** The file name with which a message of `parse` begins. */
function fileOf(message: string): string {
  return message.split(" is invalid: ")[0] ?? message;
}

/** Turns a fault into a finding; the path is removed from the start of the message. */
function findingOf(fault: Fault): Finding {
  const path = fault.path ?? "$";
  const start = `${path}: `;
  const message = fault.message.startsWith(start)
    ? fault.message.slice(start.length)
    : fault.message;
  return { path, message };
}

function describe(file: InputFile): string {
  switch (file.kind) {
    case "settings":
      return `settings of entry ${file.settings.entry}`;
    case "inventory":
      return `inventory with ${formatCount(file.inventory.vms.length, "VM")}`;
    case "rules":
      return `rules with ${formatCount(file.rules.services.length, "service")}`;
  }
}
