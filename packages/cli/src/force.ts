/**
 * Waits until a revision is in force on every entry.
 *
 * @module
 */
import { Err, fault, ForceView, Ok, type Result } from "@quetzalcove/core";
import type { AdminClient } from "./admin_client.ts";
import type { Invocation } from "./command.ts";
import type { Failure } from "./failure.ts";
import { formatDuration } from "./format.ts";

/** Pause between two questions. */
const POLL_PAUSE_MS = 200;

/** What is waited for. */
export interface Wait {
  client: AdminClient;
  revision: number;
  /** The subject of the failure's message, for example `Version 4`. */
  what: string;
}

/** Waits until a revision is in force and returns how long that took, in milliseconds. */
export async function waitForForce(
  invocation: Invocation,
  wait: Wait,
): Promise<Result<number, Failure>> {
  const { runtime, timeoutMs } = invocation;
  const start = runtime.now();
  for (;;) {
    const force = await wait.client.call({
      method: "GET",
      path: `/v1/force?revision=${wait.revision}`,
      answer: ForceView,
    });
    if (force.ok && force.val.inForce) {
      return Ok(runtime.now() - start);
    }
    if (runtime.now() + POLL_PAUSE_MS >= start + timeoutMs) {
      return Err(notInForce(wait, { timeoutMs, force }));
    }
    await runtime.sleep(POLL_PAUSE_MS);
  }
}

function notInForce(
  wait: Wait,
  last: { timeoutMs: number; force: Result<ForceView, Failure> },
): Failure {
  const reason = last.force.err
    ? last.force.val.fault.message
    : `waiting for ${last.force.val.waiting.join(", ")}`;
  const message = `${wait.what} is accepted, but not in force after ${
    formatDuration(last.timeoutMs)
  }: ${reason}`;
  const remedy =
    "It stays accepted; quetzalcove status shows the revision of each entry";
  return { reason: "timeout", fault: fault("timeout", message, { remedy }) };
}
