/**
 * `quetzalcove drain` and `quetzalcove resume`: takes one VM out of service and back.
 *
 * @module
 */
import { ChangedRevision, Ok } from "@quetzalcove/core";
import type { Command, Invocation, Outcome } from "../command.ts";
import { waitForForce } from "../force.ts";

const WAIT = {
  flags: "--wait",
  summary: "Wait until every entry has seen the change",
};

export const DRAIN: Command = {
  name: "drain",
  parameters: "<vm>",
  summary: "Stop new work on a VM and let its work end",
  details: `
Requests in progress run to their end. "quetzalcove vms" shows when the VM is drained.
It stays out of service until "quetzalcove resume".`,
  options: [WAIT],
  examples: ["drain acc-w07 --wait"],
  run: (invocation) => change(invocation, "drain"),
};

export const RESUME: Command = {
  name: "resume",
  parameters: "<vm>",
  summary: "Let a drained VM take work again",
  details: `
Cancels a drain that is in progress, or returns a drained VM to its pool.`,
  options: [WAIT],
  examples: ["resume acc-w07 --wait"],
  run: (invocation) => change(invocation, "resume"),
};

async function change(
  invocation: Invocation,
  action: "drain" | "resume",
): Promise<Outcome> {
  const { args, options } = invocation;
  const vm = args[0] ?? "";
  const connected = invocation.connect();
  if (connected.err) {
    return connected;
  }
  const client = connected.val;
  const changed = await client.call({
    method: "POST",
    path: `/v1/vms/${encodeURIComponent(vm)}/${action}`,
    body: {},
    answer: ChangedRevision,
    whenUncertain: `quetzalcove vms --name ${vm} shows the phase of the VM`,
  });
  if (changed.err) {
    return changed;
  }
  const { revision } = changed.val;
  const done = action === "drain" ? "is draining" : "takes work again";
  if (!options.flag("wait")) {
    const text = `VM ${vm} ${done} (revision ${revision})\n`;
    return Ok({ text, data: { vm, revision } });
  }
  const what = `The ${action} of VM ${vm}`;
  const waited = await waitForForce(invocation, { client, revision, what });
  return waited.map((elapsedMs) => ({
    text: `VM ${vm} ${done} (revision ${revision}, in force on every entry)\n`,
    data: { vm, revision, inForce: true, elapsedMs },
  }));
}
