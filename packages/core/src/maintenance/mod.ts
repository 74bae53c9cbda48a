/**
 * Availability budgets, planned stops and maintenance waves: the replicated records and the leader's decision pass.
 *
 * @module
 */
export * from "./budget.ts";
export * from "./capacity.ts";
export * from "./decide.ts";
export * from "./demand.ts";
export * from "./observation.ts";
export * from "./rollout.ts";
export * from "./rollout_state_machine.ts";
export * from "./window.ts";
