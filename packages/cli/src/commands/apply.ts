/**
 * `quetzalcove apply`: replaces the inventory, the rules or both.
 *
 * @module
 */
import {
  AcceptedChange,
  ConfigurationView,
  Err,
  Ok,
  type Result,
  validate,
} from "@quetzalcove/core";
import type { AdminClient } from "../admin_client.ts";
import type { Command, CommandResult, Invocation } from "../command.ts";
import {
  describeDifference,
  type Difference,
  difference,
} from "../difference.ts";
import { type Failure, usageFailure, withReason } from "../failure.ts";
import { formatCount } from "../format.ts";
import { readInventory, readRules } from "../input_files.ts";
import { waitUntilInForce } from "../wait.ts";

export const APPLY: Command = {
  name: "apply",
  parameters: "",
  summary: "Put an inventory, rules or both in force",
  details: `
The files are checked here first, then accepted or refused as a whole by the system. If
one of the files is not given, that part stays as it is. The change builds on a version;
if another operator's change came first, it is refused and nothing changes.

The change has an id. If the answer is lost, the command sends the same change again,
and so can you with --change: the system applies each id once and repeats its answer.

"accepted" means that the change is committed and survives failures; "in force" that
every entry that takes requests uses it. --wait waits until it is in force.`,
  options: [
    { flags: "--inventory <file>", summary: "The inventory, JSON" },
    { flags: "--rules <file>", summary: "The rules, JSON" },
    {
      flags: "--base <version>",
      summary: "Version that the change builds on (default: the newest one)",
    },
    {
      flags: "--change <id>",
      summary: "Id of the change (default: a new random one)",
    },
    {
      flags: "--wait",
      summary: "Wait until the change is in force everywhere",
    },
    { flags: "--dry-run", summary: "Check and show what would change" },
  ],
  examples: [
    "apply --inventory inventory.json --rules rules.json --wait",
    "apply --rules rules.json --dry-run",
    "apply --inventory inventory.json --base 12 --change ticket-4711",
  ],
  run,
};

async function run(invocation: Invocation): Promise<CommandResult> {
  const { options } = invocation;
  const connected = invocation.connect();
  const base = options.count("base");
  if (connected.err) {
    return connected;
  }
  if (base.err) {
    return base;
  }
  const client = connected.val;
  const prepared = await prepareChange(invocation, { client, base: base.val });
  if (prepared.err) {
    return prepared;
  }
  if (options.flag("dry-run")) {
    return Ok(describeDryRun(prepared.val));
  }
  const accepted = await sendUntilAnswered(invocation, {
    client,
    prepared: prepared.val,
  });
  if (accepted.err) {
    return Err(withChangeId(accepted.val, prepared.val.change));
  }
  return await reportAccepted(invocation, {
    client,
    prepared: prepared.val,
    accepted: accepted.val,
  });
}

/** A checked change, ready to be sent. */
interface PreparedChange {
  change: string;
  base: number;
  current: ConfigurationView;
  next: Pick<ConfigurationView, "inventory" | "rules">;
}

async function prepareChange(
  invocation: Invocation,
  context: { client: AdminClient; base: number | undefined },
): Promise<Result<PreparedChange, Failure>> {
  const { options, runtime } = invocation;
  const inventoryPath = options.text("inventory");
  const rulesPath = options.text("rules");
  if (inventoryPath === undefined && rulesPath === undefined) {
    return Err(usageFailure("Give --inventory, --rules or both"));
  }
  const inventory = inventoryPath === undefined
    ? undefined
    : await readInventory(runtime, inventoryPath);
  if (inventory?.err) {
    return inventory;
  }
  const rules = rulesPath === undefined
    ? undefined
    : await readRules(runtime, rulesPath);
  if (rules?.err) {
    return rules;
  }
  const read = await context.client.call({
    method: "GET",
    path: "/v1/configuration",
    answer: ConfigurationView,
  });
  return read.andThen((current) => {
    const next = {
      inventory: inventory?.val ?? current.inventory,
      rules: rules?.val ?? current.rules,
    };
    return withReason("input", validate(next.inventory, next.rules)).map(
      () => ({
        change: options.text("change") ?? runtime.newId(),
        base: context.base ?? current.version,
        current,
        next,
      }),
    );
  });
}

function describeDryRun(
  prepared: PreparedChange,
): { text: string; data: unknown } {
  const changes: Difference[] = difference(prepared.current, prepared.next);
  const heading = changes.length === 0
    ? `Nothing would change in version ${prepared.base}.\n`
    : `${formatCount(changes.length, "change")} to version ${prepared.base}:\n`;
  return {
    text: heading + changes.map(describeDifference).join(""),
    data: { base: prepared.base, changes },
  };
}

const RESEND_DELAY_MS = 500;

/** Sends the change and retries it under the same id until an answer arrives or the time-out is near. */
async function sendUntilAnswered(
  invocation: Invocation,
  context: { client: AdminClient; prepared: PreparedChange },
): Promise<Result<AcceptedChange, Failure>> {
  const { runtime, timeoutMs } = invocation;
  const { change, base, next } = context.prepared;
  const deadline = runtime.now() + timeoutMs;
  for (;;) {
    const result = await context.client.call({
      method: "POST",
      path: "/v1/configuration",
      body: { change, base, ...next },
      answer: AcceptedChange,
      idempotent: true,
    });
    const lost = result.err && result.val.reason === "uncertain";
    if (!lost || runtime.now() + RESEND_DELAY_MS >= deadline) {
      return result;
    }
    await runtime.sleep(RESEND_DELAY_MS);
  }
}

function withChangeId(failure: Failure, change: string): Failure {
  if (failure.reason !== "uncertain") {
    return failure;
  }
  const remedy = `Apply the same files again with --change ${change}; ` +
    "the system applies each id once";
  return { ...failure, fault: { ...failure.fault, remedy } };
}

async function reportAccepted(
  invocation: Invocation,
  context: {
    client: AdminClient;
    prepared: PreparedChange;
    accepted: AcceptedChange;
  },
): Promise<CommandResult> {
  const { change } = context.prepared;
  const { version, revision } = context.accepted;
  const acceptedLine = `Accepted as version ${version} (change ${change})\n`;
  if (!invocation.options.flag("wait")) {
    const data = { change, version, revision };
    return Ok({ text: acceptedLine, data });
  }
  const waited = await waitUntilInForce(invocation, context.client, {
    revision,
    subject: `Version ${version} (change ${change})`,
  });
  return waited.map((elapsedMs) => ({
    text: `${acceptedLine}In force on every entry\n`,
    data: { change, version, revision, inForce: true, elapsedMs },
  }));
}
