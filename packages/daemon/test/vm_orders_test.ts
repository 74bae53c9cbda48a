import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Metrics } from "../src/observe/metrics.ts";
import type { VmAnswer } from "../src/scheduler/platform_clients.ts";
import { VmOrders } from "../src/scheduler/vm_orders.ts";
import { notExpected, QUIET_LOG, TEST_CLOCK } from "./scheduler_fixture.ts";

beforeEach(() => vi.useFakeTimers());

afterEach(() => {
  vi.useRealTimers();
});

/** What an order comes to whose copies are answered like this, one after the other. */
async function outcomeOf(
  ...answers: VmAnswer[]
): Promise<VmAnswer | undefined> {
  const orders = new VmOrders({
    client: {
      list: notExpected,
      move: notExpected,
      maintain: () => Promise.resolve(answers.shift() ?? "done"),
    },
    term: 7,
    holder: "n1",
    clock: TEST_CLOCK,
    log: QUIET_LOG,
    metrics: new Metrics(),
    isConfirmedLeader: () => true,
  });
  const outcome = orders.order("vm-1", { kind: "upkeep", wave: 1 });
  await vi.advanceTimersByTimeAsync(10_000);
  return await outcome;
}

describe("an order for a VM", () => {
  it("comes to its first definite answer", async () => {
    expect(await outcomeOf("busy")).toBe("busy");
    expect(await outcomeOf("throttled", "refused")).toBe("refused");
    expect(await outcomeOf("no_answer", "done")).toBe("done");
  });

  // Guards against more VMs of a wave down than its limit: the copy without an answer may be carried out, and the VM that
  // it took down refuses the next copy since it is not up.
  it.each<VmAnswer>(["busy", "refused", "fenced"])(
    "is in doubt if one copy got no answer and the next was answered %s",
    async (answer) => {
      expect(await outcomeOf("no_answer", answer)).toBeUndefined();
      expect(await outcomeOf("no_answer", "throttled", answer)).toBeUndefined();
    },
  );
});
