/**
 * Test doubles for the dependencies of the scheduler's classes.
 *
 * @module
 */
import { Ok } from "@quetzalcove/core";
import type { JobStore, JobStoreOutput } from "@quetzalcove/core/scheduling";
import type { Clock } from "../src/clock.ts";
import type { Log } from "../src/observe/log.ts";
import { Metrics } from "../src/observe/metrics.ts";
import type { JobConsensus } from "../src/scheduler/job_state_machine.ts";
import type { LeadershipTermParts } from "../src/scheduler/leadership_term.ts";
import { MemoryAdmission } from "../src/scheduler/memory_admission.ts";

export const ignore = (): void => {};

export const QUIET_LOG: Log = {
  debug: ignore,
  info: ignore,
  warn: ignore,
  error: ignore,
};

/** Clocks that follow fake timers. */
export const TEST_CLOCK: Clock = {
  monotonic: () => Date.now(),
  wall: () => Date.now(),
  processor: () => 0,
  processStart: () => Date.now(),
};

export const WORKER_SETTINGS = {
  leaseMs: 4_000,
  maxLeaseMs: 10_000,
  renewalWaitMs: 1_500,
  callTimeoutMs: 1_000,
  orderTimeoutMs: 300,
  hedgeAfterMs: null,
  pauseUnanswered: true,
  avoidSlow: true,
  stopMs: 200,
  contactMs: 3_000,
  relayFromWorkers: 64,
} as const;

export const PLACEMENT_SETTINGS = {
  lookAhead: "customers",
  remoteFactor: 2,
} as const;

/** Consensus on a leader whose proposals are committed at once; `changes` replaces members. */
export function consensusOf(
  jobStore: JobStore,
  changes: Partial<JobConsensus> = {},
): JobConsensus {
  return {
    state: jobStore,
    propose: (command) =>
      Promise.resolve(
        jobStore.apply(command).map((output): JobStoreOutput => output),
      ),
    barrier: () => Promise.resolve(Ok.EMPTY),
    leadership: () => ({ term: 7, leader: "n1", isLeader: true }),
    replicas: () => [],
    onChange: ignore,
    ...changes,
  };
}

/** An admission by memory that has room for everything, or a limit in bytes. */
export function memoryOf(
  consensus: Pick<JobConsensus, "state">,
  limitBytes = Infinity,
): MemoryAdmission {
  return new MemoryAdmission({
    consensus,
    clock: TEST_CLOCK,
    log: QUIET_LOG,
    limitBytes,
  });
}

/** A call that a test does not expect. */
export const notExpected = (): Promise<never> =>
  Promise.reject(new Error("not called"));

/** Dependencies of a leadership term without VM API and advisor. */
export function termParts(
  changes:
    & Pick<LeadershipTermParts, "consensus">
    & Partial<LeadershipTermParts>,
): LeadershipTermParts {
  return {
    settings: WORKER_SETTINGS,
    term: 7,
    holder: "n1",
    retentionMs: 60_000,
    memory: memoryOf(changes.consensus),
    reclaimsBusyVms: false,
    placement: PLACEMENT_SETTINGS,
    vmClient: undefined,
    advisorClient: undefined,
    client: {
      start: notExpected,
      stop: notExpected,
      pace: notExpected,
      renew: notExpected,
      disconnect: ignore,
    },
    clock: TEST_CLOCK,
    log: QUIET_LOG,
    metrics: new Metrics(),
    isConfirmedLeader: () => true,
    measure: (_, run) => run(),
    ...changes,
  };
}
