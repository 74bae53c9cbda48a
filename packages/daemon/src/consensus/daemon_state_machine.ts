/**
 * The daemon's replicated state (configuration, VMs, ledger, jobs and maintenance) as a state machine.
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

export const daemonStateMachine: StateMachine<State, Command, CommandOutput> = {
  empty: emptyState,
  apply,
  encode: (state) => [JSON.stringify(state)],
  decode: (lines) => JSON.parse([...lines].join("")) as State,
};
