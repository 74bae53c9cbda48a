/**
 * The replicated record of each VM with its pool and its lifecycle phase. The pool is a single field, so that a VM
 * belongs to exactly one pool in every state.
 *
 * @module
 */
import { z } from "zod";
import { type Fault, fault } from "./fault.ts";
import { Name } from "./names.ts";
import { Err, Ok, type Result } from "./result.ts";

/**
 * Phases of a VM. Only `serving` VMs receive new work.
 *
 * serving -> draining -> drained -> rebooting -> returning -> serving, or -> failed;
 * a move to another pool happens in `drained`; a cancelled stop returns to `serving`, directly or through `returning`.
 */
export const VmPhase = z.enum([
  "serving",
  "draining",
  "drained",
  "rebooting",
  "returning",
  "failed",
]);
export type VmPhase = z.infer<typeof VmPhase>;

/** Why a VM left the phase `serving`. */
export const VmReason = z.enum([
  "none",
  "operator",
  "wave",
  "move",
  "removal",
  "failure",
]);
export type VmReason = z.infer<typeof VmReason>;

export const VmRecord = z.object({
  name: Name,
  pool: Name,
  phase: VmPhase,
  reason: VmReason,
  /** Wall-clock time of the last change of phase, in milliseconds. */
  since: z.number(),
  /** View revision of the last change of this record. */
  revision: z.number().int(),
  /** Wall-clock time of the last confirmed maintenance reboot, in milliseconds; 0 for never. */
  maintainedAt: z.number(),
});
export type VmRecord = z.infer<typeof VmRecord>;

export const FleetCommand = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("vm.phase"),
    vm: Name,
    from: VmPhase,
    to: VmPhase,
    reason: VmReason,
    at: z.number(),
  }),
  z.object({
    kind: z.literal("vm.move"),
    vm: Name,
    from: Name,
    to: Name,
    at: z.number(),
  }),
]);
export type FleetCommand = z.infer<typeof FleetCommand>;

const NEXT_PHASES: Record<VmPhase, readonly VmPhase[]> = {
  serving: ["draining", "failed"],
  draining: ["drained", "returning", "serving", "failed"],
  drained: ["rebooting", "returning", "serving", "failed"],
  rebooting: ["returning", "failed"],
  returning: ["serving", "failed"],
  failed: ["returning", "draining"],
};

/** Applies a fleet command to the record of one VM. */
export function applyFleet(
  record: VmRecord | undefined,
  command: FleetCommand,
  revision: number,
): Result<VmRecord, Fault> {
  if (record === undefined) {
    return Err(fault("not_found", `VM "${command.vm}" is in no inventory`));
  }
  return command.kind === "vm.phase"
    ? changePhase(record, command, revision)
    : moveToPool(record, command, revision);
}

function changePhase(
  record: VmRecord,
  command: Extract<FleetCommand, { kind: "vm.phase" }>,
  revision: number,
): Result<VmRecord, Fault> {
  if (record.phase !== command.from) {
    return Err(
      fault(
        "conflict",
        `VM "${record.name}" is ${record.phase}, not ${command.from}`,
      ),
    );
  }
  if (!NEXT_PHASES[record.phase].includes(command.to)) {
    return Err(
      fault(
        "invalid",
        `VM "${record.name}" cannot go from ${record.phase} to ${command.to}`,
      ),
    );
  }
  return Ok({
    ...record,
    phase: command.to,
    reason: command.to === "serving" ? "none" : command.reason,
    since: command.at,
    revision,
  });
}

function moveToPool(
  record: VmRecord,
  command: Extract<FleetCommand, { kind: "vm.move" }>,
  revision: number,
): Result<VmRecord, Fault> {
  if (record.pool !== command.from) {
    return Err(
      fault(
        "conflict",
        `VM "${record.name}" is in pool "${record.pool}", not "${command.from}"`,
      ),
    );
  }
  if (record.phase !== "drained") {
    return Err(
      fault(
        "conflict",
        `VM "${record.name}" is ${record.phase}; a move needs drained`,
      ),
    );
  }
  return Ok({ ...record, pool: command.to, since: command.at, revision });
}
