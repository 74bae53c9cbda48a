/**
 * Polls the system until a condition is met.
 *
 * @module
 */
import {
  Err,
  fault,
  Ok,
  type Result,
  RevisionInForceView,
  type VmPhase,
  Vms,
  type VmView,
} from "@quetzalcove/core";
import type { AdminClient } from "./admin_client.ts";
import type { Invocation } from "./command.ts";
import type { Failure } from "./failure.ts";
import { formatCount, formatDuration } from "./format.ts";

const POLL_INTERVAL_MS = 200;

/** A condition to wait for. */
interface Condition<T> {
  poll: () => Promise<Result<T, Failure>>;
  isMet: (answer: T) => boolean;
  /** Describes why an answer does not meet the condition. */
  describe: (answer: T) => string;
  /** Message of the failure on time-out; the time and the reason are appended. */
  message: string;
  remedy: string;
}

/** Waits for a condition and returns the time taken, in milliseconds. Failed calls are retried until the time-out. */
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

/** Waits until a revision is in force on every entry. `subject` starts the message, for example `Version 4`. */
export function waitUntilInForce(
  invocation: Invocation,
  client: AdminClient,
  { revision, subject }: { revision: number; subject: string },
): Promise<Result<number, Failure>> {
  return waitFor(invocation, {
    poll: () =>
      client.call({
        method: "GET",
        path: `/v1/force?revision=${revision}`,
        answer: RevisionInForceView,
      }),
    isMet: (view) => view.inForce,
    describe: (view) =>
      view.waiting.length === 0
        ? "waiting for leases granted by an earlier leader to expire"
        : `waiting for ${view.waiting.join(", ")}`,
    message: `${subject} is accepted, but not in force`,
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
  const find = (answer: Vms): VmView | undefined =>
    answer.vms.find(({ name }) => name === vm);
  return waitFor(invocation, {
    poll: () => client.call({ method: "GET", path: "/v1/vms", answer: Vms }),
    isMet: (answer) => find(answer)?.phase === phase,
    describe: (answer) => {
      const view = find(answer);
      return view === undefined
        ? "it is no longer in the inventory"
        : `it is ${view.phase} with ${
          formatCount(view.inFlight, "request")
        } in flight`;
    },
    message: `VM ${vm} is not ${phase}`,
    remedy:
      "The command stays in effect; quetzalcove waves --why shows what holds the VM back",
  });
}
