/**
 * Waits until the system has reached a condition.
 *
 * @module
 */
import {
  Err,
  fault,
  ForceView,
  Ok,
  type Result,
  type VmPhase,
  Vms,
  type VmView,
} from "@quetzalcove/core";
import type { AdminClient } from "./admin_client.ts";
import type { Invocation } from "./command.ts";
import type { Failure } from "./failure.ts";
import { formatCount, formatDuration } from "./format.ts";

/** Pause between two questions. */
const POLL_INTERVAL_MS = 200;

/** A condition that is waited for. */
interface Condition<T> {
  poll: () => Promise<Result<T, Failure>>;
  isMet: (answer: T) => boolean;
  /** Says what the last answer still lacks. */
  describe: (answer: T) => string;
  /** The failure's message up to the reason, and its remedy. */
  message: string;
  remedy: string;
}

/** Waits for a condition and returns how long that took, in milliseconds. A lost answer is asked for again. */
async function waitFor<T>(
  invocation: Invocation,
  condition: Condition<T>,
): Promise<Result<number, Failure>> {
  const { runtime, timeoutMs } = invocation;
  const start = runtime.now();
  for (;;) {
    const answer = await condition.poll();
    if (answer.ok && condition.isMet(answer.val)) {
      return Ok(runtime.now() - start);
    }
    if (runtime.now() + POLL_INTERVAL_MS >= start + timeoutMs) {
      const reason = answer.ok
        ? condition.describe(answer.val)
        : (answer.val as Failure).fault.message;
      const { message, remedy } = condition;
      const text = `${message} after ${formatDuration(timeoutMs)}: ${reason}`;
      return Err({
        reason: "timeout",
        fault: fault("timeout", text, { remedy }),
      });
    }
    await runtime.sleep(POLL_INTERVAL_MS);
  }
}

/** Waits until a revision is in force on every entry. `what` names it, for example `Version 4`. */
export function waitUntilInForce(
  invocation: Invocation,
  client: AdminClient,
  { revision, what }: { revision: number; what: string },
): Promise<Result<number, Failure>> {
  return waitFor(invocation, {
    poll: () =>
      client.call({
        method: "GET",
        path: `/v1/force?revision=${revision}`,
        answer: ForceView,
      }),
    isMet: (force) => force.inForce,
    describe: (force) =>
      force.waiting.length === 0
        ? "waiting for leases of an earlier leader to run out"
        : `waiting for ${force.waiting.join(", ")}`,
    message: `${what} is accepted, but not in force`,
    remedy:
      "It stays accepted; quetzalcove status shows the revision of each entry",
  });
}

/** Waits until a VM is in a phase. */
export function waitForPhase(
  invocation: Invocation,
  client: AdminClient,
  { vm, phase }: { vm: string; phase: VmPhase },
): Promise<Result<number, Failure>> {
  const find = (found: Vms): VmView | undefined =>
    found.vms.find(({ name }) => name === vm);
  return waitFor(invocation, {
    poll: () => client.call({ method: "GET", path: "/v1/vms", answer: Vms }),
    isMet: (found) => find(found)?.phase === phase,
    describe: (found) => {
      const seen = find(found);
      return seen === undefined
        ? "it is in no inventory any more"
        : `it is ${seen.phase} with ${
          formatCount(seen.inFlight, "request")
        } in flight`;
    },
    message: `VM ${vm} is not ${phase}`,
    remedy: "The order stays; quetzalcove waves --why names what holds it back",
  });
}
