/**
 * The core of quetzalcove: schemas, state machine and decisions, without input or output.
 *
 * @module
 */
export * from "./admin_api.ts";
export * from "./announcement.ts";
export * from "./callers/mod.ts";
export * from "./configuration.ts";
export * from "./eviction.ts";
export * from "./fault.ts";
export * from "./fleet.ts";
export * from "./group_by.ts";
export * from "./inventory.ts";
export * from "./json_text.ts";
export * from "./ledger.ts";
export * from "./state_machine.ts";
export * from "./membership/mod.ts";
export * from "./maintenance/mod.ts";
export * from "./names.ts";
export * from "./placement/mod.ts";
export * from "./agent_order.ts";
export * from "./raft/mod.ts";
export * from "./result.ts";
export * from "./routing/mod.ts";
export * from "./rules.ts";
export * from "./schema_keys.ts";
export * from "./settings.ts";
export { parseSettings, readSettings } from "./settings_check.ts";
export * from "./state.ts";
export * from "./tolerant_parse.ts";
export * from "./validate.ts";
