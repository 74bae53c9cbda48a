/**
 * The replicated record of maintenance rounds and waves. A round takes every VM once; a wave is the group of VMs
 * that are out at one time. The record and the VM records suffice for a new leader to continue a wave.
 *
 * @module
 */
import { z } from "zod";
import type { VmRecord } from "../fleet.ts";
import { Name } from "../names.ts";

export const Wave = z.object({
  id: z.number().int(),
  /** The rack or zone that the wave stays inside. */
  domain: Name,
  canary: z.boolean(),
  vms: z.array(Name),
  startedAt: z.number(),
});
export type Wave = z.infer<typeof Wave>;

/** A count of events of a VM and the time of the last one. */
export const Tally = z.object({ count: z.number().int(), at: z.number() });
export type Tally = z.infer<typeof Tally>;

/** Recent failures of a VM, and the wave that ran at the last one; 0 for none. */
export const Failures = Tally.extend({ wave: z.number().int() });
export type Failures = z.infer<typeof Failures>;

export const Rollout = z.object({
  /** Number of the current round; 0 before the first. */
  round: z.number().int(),
  startedAt: z.number(),
  /** The round number of the rules that was last acted on. */
  requested: z.number().int(),
  /** Id of the last wave. */
  lastWave: z.number().int(),
  wave: Wave.nullable(),
  /** Waves that passed since the round started or a wave stopped. */
  passed: z.number().int(),
  /** Waves that stopped in a row. */
  stops: z.number().int(),
  stoppedAt: z.number(),
  /** VMs that failed in the waves that stopped. */
  suspects: z.array(Name),
  /** Drains put off, by VM, in this round. */
  postponed: z.record(z.string(), Tally),
  /** Reboots that agents refused, by VM, in this round. */
  refused: z.record(z.string(), Tally),
  /** Recent failures by VM. */
  failures: z.record(z.string(), Failures),
  /**
   * Reboots without an answer when their VM was given up, by VM. The order may still reach the agent, so the VM stays
   * out until the agent has answered.
   */
  unconfirmed: z.record(z.string(), z.string()),
  /** VMs that an operator wants out of service, with the time of the wish. */
  wanted: z.record(z.string(), z.number()),
});
export type Rollout = z.infer<typeof Rollout>;

export const RolloutCommand = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("round.open"),
    round: z.number().int(),
    requested: z.number().int(),
    at: z.number(),
  }),
  z.object({
    kind: z.literal("wave.start"),
    id: z.number().int(),
    domain: Name,
    canary: z.boolean(),
    vms: z.array(Name).min(1),
    at: z.number(),
  }),
  z.object({
    kind: z.literal("wave.end"),
    id: z.number().int(),
    outcome: z.enum(["passed", "postponed", "stopped"]),
    /** Whether more than one VM failed, which rules out chance. */
    correlated: z.boolean(),
    failed: z.array(Name),
    at: z.number(),
  }),
  /** Ends a pause. */
  z.object({ kind: z.literal("wave.resume"), at: z.number() }),
  /** An agent refused a reboot: it did not take place. */
  z.object({
    kind: z.literal("reboot.refused"),
    vm: Name,
    operation: z.string(),
    at: z.number(),
  }),
  /** Ends the record of a VM that left the inventory. */
  z.object({ kind: z.literal("vm.remove"), vm: Name, at: z.number() }),
  /** The operator wants a VM out of service, or back. */
  z.object({
    kind: z.literal("vm.want"),
    vm: Name,
    out: z.boolean(),
    at: z.number(),
  }),
]);
export type RolloutCommand = z.infer<typeof RolloutCommand>;

/** A failure counts as repeated when the one before it is at most this old. */
export const FAILURE_MEMORY_MS = 86_400_000;

/** No round, in force before the first. */
export function emptyRollout(): Rollout {
  return {
    round: 0,
    startedAt: 0,
    requested: 0,
    lastWave: 0,
    wave: null,
    passed: 0,
    stops: 0,
    stoppedAt: 0,
    suspects: [],
    postponed: {},
    refused: {},
    failures: {},
    unconfirmed: {},
    wanted: {},
  };
}

/** The id of the reboot of a VM in the current round; the agent runs it at most once. */
export function rebootOperation(rollout: Rollout, vm: string): string {
  const attempt = rollout.refused[vm]?.count ?? 0;
  return `reboot/${rollout.round}-${rollout.startedAt}/${vm}/${attempt}`;
}

/** The reboot of a VM that its agent still has to answer, or undefined. */
export function awaitedReboot(
  rollout: Rollout,
  record: VmRecord,
): string | undefined {
  switch (record.phase) {
    case "rebooting":
      return rebootOperation(rollout, record.name);
    case "failed":
      return rollout.unconfirmed[record.name];
    default:
      return undefined;
  }
}

/** Whether a VM still has to be maintained in the current round. */
export function isDue(record: VmRecord, rollout: Rollout): boolean {
  return rollout.round > 0 && record.maintainedAt < rollout.startedAt;
}

/** Waves stopped in a row after which no further canary is tried before health returns. */
export const STOPS_UNTIL_HEALTHY = 2;

/**
 * Records what a change of phase means for the rollout: a maintenance, a failure, or a drain that was put off. A
 * maintenance counts from the confirmed reboot and never before the start of its round.
 */
export function notePhase(
  rollout: Rollout,
  change: { before: VmRecord; after: VmRecord },
  { drainTimeoutMs }: { drainTimeoutMs: number },
): void {
  const { before, after } = change;
  if (after.phase === "failed") {
    noteFailure(rollout, after);
  }
  if (before.phase === "rebooting" && after.phase === "failed") {
    rollout.unconfirmed[after.name] = rebootOperation(rollout, after.name);
  }
  if (after.phase === "returning" && after.reason === "wave") {
    noteReboot(rollout, before, after);
  }
  if (wasPutOff(before, after, drainTimeoutMs)) {
    rollout.postponed[after.name] = counted(
      rollout.postponed[after.name],
      after.since,
    );
  }
}

/** Operators withdraw moves and removals as well, so theirs count as put off only when they took too long. */
function wasPutOff(
  before: VmRecord,
  after: VmRecord,
  drainTimeoutMs: number,
): boolean {
  const stopping = before.phase === "draining" || before.phase === "drained";
  const back = after.phase === "serving" || after.phase === "returning";
  const late = after.since - before.since >= drainTimeoutMs;
  const ordered = before.reason === "move" || before.reason === "removal";
  return stopping && back && before.pool === after.pool &&
    (before.reason === "wave" || ordered && late);
}

/** A reboot that its agent confirmed counts as maintenance if it belongs to this round. */
function noteReboot(
  rollout: Rollout,
  before: VmRecord,
  after: VmRecord,
): void {
  const operation = awaitedReboot(rollout, before);
  if (operation === rebootOperation(rollout, after.name)) {
    after.maintainedAt = Math.max(after.since, rollout.startedAt);
    delete rollout.postponed[after.name];
  }
  delete rollout.unconfirmed[after.name];
}

/** Records a failure of a VM. */
export function noteFailure(rollout: Rollout, record: VmRecord): void {
  const known = rollout.failures[record.name];
  const recent = known !== undefined &&
    record.since - known.at <= FAILURE_MEMORY_MS;
  rollout.failures[record.name] = {
    ...counted(recent ? known : undefined, record.since),
    wave: rollout.wave?.id ?? 0,
  };
}

/** Forgets a VM that no longer exists. */
export function forgetVm(rollout: Rollout, vm: string): void {
  delete rollout.postponed[vm];
  delete rollout.refused[vm];
  delete rollout.failures[vm];
  delete rollout.unconfirmed[vm];
  delete rollout.wanted[vm];
}

/** Counts one more event. */
export function counted(tally: Tally | undefined, at: number): Tally {
  return { count: (tally?.count ?? 0) + 1, at };
}
