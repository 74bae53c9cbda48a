/**
 * `quetzalcove drain` and `quetzalcove resume`: take one VM out of service and return it.
 *
 * @module
 */
import { ChangedRevision, Ok, type VmPhase } from "@quetzalcove/core";
import type { Command, CommandResult, Invocation } from "../command.ts";
import { waitForPhase } from "../wait.ts";

export const DRAIN: Command = {
  name: "drain",
  parameters: "<vm>",
  summary: "Stop new work on a VM and let running work finish",
  details: `
Requests in progress finish first; then the VM is drained and can be taken down. It stays
out of service until "quetzalcove resume". --wait waits until it is drained; no request is
aborted when the wait times out.`,
  options: [{ flags: "--wait", summary: "Wait until the VM is drained" }],
  examples: ["drain acc-w07 --wait", "drain acc-w07 --wait --timeout 600"],
  run: (invocation) => change(invocation, { action: "drain", goal: "drained" }),
};

export const RESUME: Command = {
  name: "resume",
  parameters: "<vm>",
  summary: "Let a drained VM take work again",
  details: `
Cancels a drain that is in progress, or returns a drained VM to its pool.`,
  options: [{ flags: "--wait", summary: "Wait until the VM is serving" }],
  examples: ["resume acc-w07 --wait"],
  run: (invocation) =>
    change(invocation, { action: "resume", goal: "serving" }),
};

async function change(
  invocation: Invocation,
  operation: { action: "drain" | "resume"; goal: VmPhase },
): Promise<CommandResult> {
  const { args, options } = invocation;
  const { action, goal } = operation;
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
  const acceptedLine = `Accepted: ${action} VM ${vm} (revision ${revision})\n`;
  if (!options.flag("wait")) {
    return Ok({ text: acceptedLine, data: { vm, revision } });
  }
  const waited = await waitForPhase(invocation, client, { vm, phase: goal });
  return waited.map((elapsedMs) => ({
    text: `${acceptedLine}VM ${vm} is ${goal}\n`,
    data: { vm, revision, phase: goal, elapsedMs },
  }));
}
