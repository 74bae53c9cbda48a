/**
 * Calls to workers that other replicas make on behalf of the leader.
 *
 * @module
 */
export { CallRelay } from "./call_relay.ts";
export { CallRouter } from "./call_router.ts";
export { RELAY_METHODS } from "./messages.ts";
