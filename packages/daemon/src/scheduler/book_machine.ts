/**
 * The job book as the state machine of the consensus task.
 *
 * @module
 */
import {
  type BookCommand,
  type BookOutput,
  JobBook,
} from "@quetzalcove/core/scheduling";
import type { Consensus, StateMachine } from "../consensus/consensus.ts";

export const bookMachine: StateMachine<JobBook, BookCommand, BookOutput> = {
  empty: () => new JobBook(),
  apply: (book, command) => book.apply(command),
  encode: (book) => book.encode(),
  decode: (text) => JobBook.decode(text),
};

/** Consensus over the job book. */
export type BookConsensus = Consensus<JobBook, BookCommand, BookOutput>;
