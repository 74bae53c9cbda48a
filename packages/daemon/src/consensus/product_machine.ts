/**
 * The state machine of the inventory, rules and ledger for the consensus task.
 *
 * @module
 */
import {
  apply,
  type Command,
  type CommandOutput,
  emptyState,
  type State,
} from "@quetzalcove/core";
import type { StateMachine } from "./consensus.ts";

export const productMachine: StateMachine<State, Command, CommandOutput> = {
  empty: emptyState,
  apply,
  encode: (state) => JSON.stringify(state),
  decode: (text) => JSON.parse(text) as State,
};
