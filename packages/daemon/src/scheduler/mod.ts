/**
 * A scheduler node, which places jobs on the workers of a platform.
 *
 * @module
 */
export type { Component } from "../lifecycle.ts";
export { BodyBuffer } from "../callers/body_buffer.ts";
export {
  HttpServer,
  readBody,
  type ServerLimits,
  writeReply,
} from "../http_server.ts";
export { hostAndPort } from "../net.ts";
export { errorMessage, type Log, openLog } from "../observe/log.ts";
export { wait } from "../waiting.ts";
export { CustomerClient } from "./customer_client.ts";
export * from "./methods.ts";
export { type NodeParts, SchedulerNode } from "./node.ts";
export * from "./platform_clients.ts";
export type { CustomerStatus } from "./customer_status.ts";
export { type Build, isOutdated, UNKNOWN_BUILD } from "./build.ts";
export { NodeStatus } from "./status.ts";
