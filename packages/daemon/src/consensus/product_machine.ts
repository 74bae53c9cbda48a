/**
 * The state machine of the inventory, rules and ledger for the consensus task.
 *
 * @module
 */
import {
  apply,
  type Command,
  emptyState,
  type Output,
  type State,
} from "@quetzalcove/core";
import type { StateMachine } from "./consensus.ts";

export const productMachine: StateMachine<State, Command, Output> = {
  empty: emptyState,
  apply,
  encode: (state) => JSON.stringify(state),
  decode: (text) => JSON.parse(text) as State,
};
