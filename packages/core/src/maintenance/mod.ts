/**
 * Availability budgets and maintenance waves: the replicated records, and the decision that the leader makes at
 * every tick.
 *
 * @module
 */
export * from "./budget.ts";
export * from "./capacity.ts";
export * from "./decide.ts";
export * from "./need.ts";
export * from "./observation.ts";
export * from "./rollout.ts";
export * from "./rollout_machine.ts";
export * from "./window.ts";
