/**
 * `quetzalcove replicas`: lists and changes the replica group.
 *
 * @module
 */
import { Err, Replicas } from "@quetzalcove/core";
import { z } from "zod";
import type { Command, CommandResult, Invocation } from "../command.ts";
import { usageFailure } from "../failure.ts";
import { compareNames, formatTable } from "../format.ts";

export const REPLICAS: Command = {
  name: "replicas",
  parameters: "[action] [name]",
  usage: "[remove <replica> | transfer <entry>]",
  summary: "List replicas; remove one or transfer leadership",
  details: `
Without an action it lists replicas. "remove" removes a replica permanently, and
"transfer" makes an entry's replica the leader.

A daemon that is configured as a replica and has an empty data folder joins by itself. It
is a learner until it has caught up; only then does it count towards a majority and
replace the replica that its entry had before. A lost disk therefore needs no command:
start the daemon with an empty data folder and watch "caught up".`,
  options: [],
  examples: [
    "replicas",
    "replicas remove entry-b2#5f0c2a8e",
    "replicas transfer entry-a1",
  ],
  run,
};

/** The key of the request body for the name, by action. */
const ACTIONS = {
  remove: "replica",
  transfer: "entry",
} as const;

const COLUMNS = [
  { heading: "REPLICA" },
  { heading: "ENTRY" },
  { heading: "ZONE" },
  { heading: "ROLE" },
  { heading: "STORED UP TO", numeric: true },
  { heading: "CAUGHT UP" },
];

async function run(invocation: Invocation): Promise<CommandResult> {
  const [action, name] = invocation.args;
  if (action === undefined) {
    return await list(invocation);
  }
  if (!Object.hasOwn(ACTIONS, action)) {
    return Err(
      usageFailure(`The action is remove or transfer, not "${action}"`),
    );
  }
  if (name === undefined) {
    return Err(usageFailure(`replicas ${action} needs a name`));
  }
  return await change(invocation, {
    action: action as keyof typeof ACTIONS,
    name,
  });
}

async function list(invocation: Invocation): Promise<CommandResult> {
  const connected = invocation.connect();
  if (connected.err) {
    return connected;
  }
  const found = await connected.val.call({
    method: "GET",
    path: "/v1/replicas",
    answer: Replicas,
  });
  return found.map((data) => {
    const rows = data.replicas
      .toSorted((a, b) => compareNames(a.entry, b.entry))
      .map((replica) => [
        replica.replica,
        replica.entry,
        replica.zone,
        replica.role,
        replica.matched,
        replica.caughtUp ? "yes" : "no",
      ]);
    return { text: formatTable(COLUMNS, rows), data };
  });
}

async function change(
  invocation: Invocation,
  operation: { action: keyof typeof ACTIONS; name: string },
): Promise<CommandResult> {
  const { action, name } = operation;
  const connected = invocation.connect();
  if (connected.err) {
    return connected;
  }
  const changed = await connected.val.call({
    method: "POST",
    path: `/v1/replicas/${action}`,
    body: { [ACTIONS[action]]: name },
    answer: z.unknown(),
    whenUncertain: "quetzalcove replicas shows whether it was done",
  });
  return changed.map((data) => ({
    text: `Accepted: replicas ${action} ${name}\n`,
    data: data ?? {},
  }));
}
