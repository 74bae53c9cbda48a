/**
 * The replicated record of maintenance rounds and waves. A round maintains every VM once; a wave is the group of VMs
 * that are out of service for it at the same time. Together with the VM records it lets a new leader continue a wave.
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

/** Number of events of a VM and the time of the last one. */
export const EventCount = z.object({ count: z.number().int(), at: z.number() });
export type EventCount = z.infer<typeof EventCount>;

/** Recent failures of a VM, and the id of the wave that was running at the last one; 0 for none. */
export const Failures = EventCount.extend({ wave: z.number().int() });
export type Failures = z.infer<typeof Failures>;

export const Rollout = z.object({
  /** Number of the current round; 0 before the first. */
  round: z.number().int(),
  startedAt: z.number(),
  /** The last `rules.maintenance.round` that was acted on. */
  requested: z.number().int(),
  /** Id of the latest wave; 0 before the first. */
  lastWave: z.number().int(),
  /** The wave in progress. */
  wave: Wave.nullable(),
  /** Waves that passed since the round started or the last wave stopped. */
  passed: z.number().int(),
  /** Consecutive waves that stopped. */
  stops: z.number().int(),
  stoppedAt: z.number(),
  /** VMs that failed in the waves that stopped. */
  suspects: z.array(Name),
  /** Postponed drains in this round by VM. */
  postponed: z.record(z.string(), EventCount),
  /** Reboots that agents refused in this round by VM. */
  refused: z.record(z.string(), EventCount),
  /** Recent failures by VM. */
  failures: z.record(z.string(), Failures),
  /**
   * Operation ids of reboots that had no answer when their VM failed, by VM. The call may still reach the agent, so the
   * VM stays out of service until the agent has answered.
   */
  unconfirmed: z.record(z.string(), z.string()),
  /** VMs that an operator wants out of service, with the time of the request. */
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
    /** Whether several VMs failed, so that coincidence is unlikely. */
    correlated: z.boolean(),
    failed: z.array(Name),
    at: z.number(),
  }),
  /** Ends the pause after stopped waves. */
  z.object({ kind: z.literal("wave.resume"), at: z.number() }),
  /** An agent refused a reboot; it did not take place. */
  z.object({
    kind: z.literal("reboot.refused"),
    vm: Name,
    operation: z.string(),
    at: z.number(),
  }),
  /** Deletes the record of a VM that left the inventory. */
  z.object({ kind: z.literal("vm.remove"), vm: Name, at: z.number() }),
  /** An operator requests a VM out of service, or returns it. */
  z.object({
    kind: z.literal("vm.want"),
    vm: Name,
    out: z.boolean(),
    at: z.number(),
  }),
]);
export type RolloutCommand = z.infer<typeof RolloutCommand>;

/** A failure counts as repeated when the previous one is at most this old. */
export const REPEATED_FAILURE_MS = 86_400_000;

/** The record before the first round. */
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

/** The operation id of a VM's reboot in the current round; the agent runs it at most once. */
export function rebootOperation(rollout: Rollout, vm: string): string {
  const attempt = rollout.refused[vm]?.count ?? 0;
  return `reboot/${rollout.round}-${rollout.startedAt}/${vm}/${attempt}`;
}

/** The operation id of a reboot that the VM's agent has not answered; undefined when there is none. */
export function pendingReboot(
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

/** Consecutive stopped waves after which no canary starts until the failed VMs are healthy again. */
export const MAX_CONSECUTIVE_STOPS = 2;

/** Records a maintenance, a failure or a postponed drain when a VM changes its phase. */
export function recordPhaseChange(
  rollout: Rollout,
  change: { before: VmRecord; after: VmRecord },
  { drainTimeoutMs }: { drainTimeoutMs: number },
): void {
  const { before, after } = change;
  if (after.phase === "failed") {
    recordFailure(rollout, after);
  }
  if (before.phase === "rebooting" && after.phase === "failed") {
    rollout.unconfirmed[after.name] = rebootOperation(rollout, after.name);
  }
  if (after.phase === "returning" && after.reason === "wave") {
    recordReboot(rollout, before, after);
  }
  if (wasPostponed(before, after, drainTimeoutMs)) {
    rollout.postponed[after.name] = incremented(
      rollout.postponed[after.name],
      after.since,
    );
  }
}

/** Operators may withdraw moves and removals, so these count as postponed only after the drain time-out. */
function wasPostponed(
  before: VmRecord,
  after: VmRecord,
  drainTimeoutMs: number,
): boolean {
  const wasStopping = before.phase === "draining" || before.phase === "drained";
  const isReturned = after.phase === "serving" || after.phase === "returning";
  const isLate = after.since - before.since >= drainTimeoutMs;
  const isRequested = before.reason === "move" || before.reason === "removal";
  return wasStopping && isReturned && before.pool === after.pool &&
    (before.reason === "wave" || isRequested && isLate);
}

/**
 * Records a confirmed reboot, which counts as maintenance if it belongs to the current round, at a time no earlier than
 * the start of the round.
 */
function recordReboot(
  rollout: Rollout,
  before: VmRecord,
  after: VmRecord,
): void {
  const operation = pendingReboot(rollout, before);
  if (operation === rebootOperation(rollout, after.name)) {
    after.maintainedAt = Math.max(after.since, rollout.startedAt);
    delete rollout.postponed[after.name];
  }
  delete rollout.unconfirmed[after.name];
}

/** Counts a failure of a VM and records the wave in progress. */
export function recordFailure(rollout: Rollout, record: VmRecord): void {
  const known = rollout.failures[record.name];
  const isRepeated = known !== undefined &&
    record.since - known.at <= REPEATED_FAILURE_MS;
  rollout.failures[record.name] = {
    ...incremented(isRepeated ? known : undefined, record.since),
    wave: rollout.wave?.id ?? 0,
  };
}

/** Deletes everything recorded about a VM that was removed. */
export function deleteVmHistory(rollout: Rollout, vm: string): void {
  delete rollout.postponed[vm];
  delete rollout.refused[vm];
  delete rollout.failures[vm];
  delete rollout.unconfirmed[vm];
  delete rollout.wanted[vm];
}

/** The count with one more event at the given time. */
export function incremented(
  events: EventCount | undefined,
  at: number,
): EventCount {
  return { count: (events?.count ?? 0) + 1, at };
}
