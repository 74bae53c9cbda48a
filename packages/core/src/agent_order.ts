/**
 * Orders of the leader to the platform agent of a VM during a planned stop.
 *
 * @module
 */
import { z } from "zod";
import { Name } from "./names.ts";

/** An order to an agent. An operation takes place at most once; an order of an older term is refused. */
export const AgentOrder = z.strictObject({
  kind: z.enum(["drain", "reboot", "resume"]),
  vm: Name,
  operation: z.string().min(1),
  /** Term of the leader that sends the order. */
  term: z.number().int(),
});
export type AgentOrder = z.infer<typeof AgentOrder>;

/** The status of an order. `failed` means that it did not take place and will not under this operation id. */
export const AgentOrderAnswer = z.object({
  operation: z.string(),
  status: z.enum(["running", "done", "failed"]),
  /** Whether the VM runs no tasks and accepts none. */
  drained: z.boolean(),
});
export type AgentOrderAnswer = z.infer<typeof AgentOrderAnswer>;
