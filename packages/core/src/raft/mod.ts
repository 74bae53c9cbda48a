/**
 * Raft consensus as a state machine that does no I/O.
 *
 * @module
 */
export { entrySizeOf, fitsMessage } from "./entry_size.ts";
export * from "./member.ts";
export * from "./message.ts";
export type { RaftOptions } from "./open.ts";
export type { RaftOutput, RaftWrite } from "./output.ts";
export * from "./raft.ts";
export * from "./record.ts";
export * from "./replacement.ts";
export { DEFAULT_TUNING, type RaftRole, type RaftTuning } from "./replica.ts";
export * from "./snapshot_text.ts";
