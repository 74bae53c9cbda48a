/**
 * The job store as the replicated state machine.
 *
 * @module
 */
import {
  JobStore,
  type JobStoreCommand,
  type JobStoreOutput,
} from "@quetzalcove/core/scheduling";
import type { Consensus, StateMachine } from "../consensus/consensus.ts";

export const jobStateMachine: StateMachine<
  JobStore,
  JobStoreCommand,
  JobStoreOutput
> = {
  empty: () => new JobStore(),
  apply: (jobStore, command) => jobStore.apply(command),
  encode: (jobStore) => jobStore.snapshot(),
  decode: (lines) => JobStore.restore(lines),
};

/** Consensus over the commands of the job store. */
export type JobConsensus = Consensus<JobStore, JobStoreCommand, JobStoreOutput>;
