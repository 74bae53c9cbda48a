/**
 * The job store as the replicated state machine.
 *
 * @module
 */
import {
  type BookCommand,
  type BookOutput,
  JobBook,
} from "@quetzalcove/core/scheduling";
import type { Consensus, StateMachine } from "../consensus/consensus.ts";

export const jobStateMachine: StateMachine<JobBook, BookCommand, BookOutput> = {
  empty: () => new JobBook(),
  apply: (jobStore, command) => jobStore.apply(command),
  encode: (jobStore) => jobStore.encode(),
  decode: (text) => JobBook.decode(text),
};

/** Consensus over the commands of the job store. */
export type JobConsensus = Consensus<JobBook, BookCommand, BookOutput>;
