/**
 * `quetzalcove vms`: lists VMs with their pool and phase.
 *
 * @module
 */
import { groupBy, Vms, type VmView } from "@quetzalcove/core";
import type { Command, CommandResult, Invocation } from "../command.ts";
import {
  compareNames,
  formatCount,
  formatDuration,
  formatTable,
} from "../format.ts";

export const VMS: Command = {
  name: "vms",
  parameters: "",
  summary: "List VMs with zone, rack, pool, phase and work",
  details: `
Phases: serving, draining (no new work), drained, rebooting, returning, failed. The pool
"intake -> charts" means a pending move, "intake -> none" a VM that the newest inventory
no longer lists. Targets that announce themselves on a VM that is not in the inventory
get no work; they are listed below the VMs.`,
  options: [
    { flags: "--name <vm>", summary: "Only this VM" },
    { flags: "--pool <pool>", summary: "Only VMs of this pool" },
    { flags: "--zone <zone>", summary: "Only VMs of this availability zone" },
    { flags: "--phase <phase>", summary: "Only VMs in this phase" },
  ],
  examples: ["vms", "vms --pool intake --phase draining"],
  run,
};

async function run(invocation: Invocation): Promise<CommandResult> {
  const { options, runtime } = invocation;
  const connected = invocation.connect();
  if (connected.err) {
    return connected;
  }
  const found = await connected.val.call({
    method: "GET",
    path: "/v1/vms",
    answer: Vms,
  });
  return found.map(({ vms, unknownTargets }) => {
    const selected = vms
      .filter((vm) =>
        matches(vm.name, options.text("name")) &&
        matches(vm.pool, options.text("pool")) &&
        matches(vm.zone ?? "-", options.text("zone")) &&
        matches(vm.phase, options.text("phase"))
      )
      .sort((a, b) => compareNames(a.name, b.name));
    const data = { vms: selected, unknownTargets };
    return { text: describeVms(data, runtime.now()), data };
  });
}

function matches(value: string, wanted: string | undefined): boolean {
  return wanted === undefined || value === wanted;
}

const COLUMNS = [
  { heading: "VM" },
  { heading: "ZONE" },
  { heading: "RACK" },
  { heading: "POOL" },
  { heading: "PHASE" },
  { heading: "REASON" },
  { heading: "SINCE" },
  { heading: "TARGETS", numeric: true },
  { heading: "IN FLIGHT", numeric: true },
];

const TARGET_COLUMNS = [
  { heading: "UNKNOWN TARGET" },
  { heading: "VM" },
  { heading: "SERVICE" },
  { heading: "ADDRESS" },
];

function describeVms(found: Vms, now: number): string {
  const rows = found.vms.map((vm) => [
    vm.name,
    vm.zone ?? "-",
    vm.rack ?? "-",
    describePool(vm),
    vm.phase,
    vm.reason === "none" ? "" : vm.reason,
    `${formatDuration(Math.max(0, now - vm.since))} ago`,
    vm.targets.length,
    vm.inFlight,
  ]);
  const table = formatTable(COLUMNS, rows);
  if (found.unknownTargets.length === 0) {
    return table;
  }
  const targets = found.unknownTargets.map((target) => [
    target.target,
    target.vm,
    target.service,
    target.address,
  ]);
  return `${table}\n${formatTable(TARGET_COLUMNS, targets)}`;
}

function describePool(vm: VmView): string {
  return vm.pool === vm.desiredPool
    ? vm.pool
    : `${vm.pool} -> ${vm.desiredPool ?? "none"}`;
}

/** Formats the number of VMs in each phase, with the names of those that are not serving. */
export function describePhases(found: Vms): string {
  const phases = groupBy(found.vms, (vm) => vm.phase);
  const lines = [...phases].map(([phase, vms]) => {
    const names = vms.map((vm) => vm.name).sort(compareNames).join(", ");
    const count = formatCount(vms.length, "VM");
    return phase === "serving"
      ? `${count} serving\n`
      : `${count} ${phase}: ${names}\n`;
  });
  return lines.length === 0 ? "No VMs\n" : lines.join("");
}
