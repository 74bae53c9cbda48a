import { describe, expect, it } from "vitest";
import {
  checkQueuePlan,
  type Customer,
  decideAccess,
  isVisibleTo,
  type QueuePlan,
} from "@quetzalcove/core/scheduling";
import { customer, planOf, queue } from "./scheduling_fixture.ts";

const CLOSED = queue();
const OPEN = queue({ name: "open", allowsAnonymous: true });

/** The decisions on a call with each key, by queue. */
function decisions(
  plan: QueuePlan,
  keyDigests: (string | undefined)[],
): string[] {
  return [CLOSED, OPEN, undefined].flatMap((called) =>
    keyDigests.map((keyDigest) => {
      const access = decideAccess(plan, called, keyDigest);
      const decided = access.ok
        ? `${access.val.customer}, sees all: ${access.val.seesAllJobs}`
        : `${access.val.kind}, ${access.val.outcome}: ${access.val.message}`;
      return `${called?.name ?? "no queue"} with ${keyDigest}: ${decided}`;
    })
  );
}

describe("access to a queue", () => {
  // Guards against calls of strangers: an unknown key on an anonymous queue, or none where one is required.
  it("is decided by the key and the queue", () => {
    const plan = planOf([customer("acme", "a1", "a2"), customer("blue", "b1")]);
    expect(decisions(plan, ["a1", "a2", "b1", "x", undefined]))
      .toMatchSnapshot();
  });

  // Guards against a change for deployments without customers, whose callers may send any header.
  it("is not checked under a plan without customers", () => {
    expect(decisions(planOf([]), ["x", undefined])).toMatchSnapshot();
  });

  // Guards against an index of keys that outlives its plan.
  it("follows the plan when a key is withdrawn, added or moved to another customer", () => {
    const before = planOf([customer("acme", "a1", "k"), customer("blue")]);
    const after = planOf([customer("acme", "a2"), customer("blue", "k")]);
    const ownerOf = (plan: QueuePlan, keyDigest: string): string | undefined =>
      decideAccess(plan, CLOSED, keyDigest).map((access) => access.customer)
        .unwrapOr("refused");
    const owners = [before, after, before].map((plan) =>
      ["a1", "a2", "k"].map((keyDigest) => ownerOf(plan, keyDigest))
    );
    expect(owners).toEqual([
      ["acme", "refused", "acme"],
      ["refused", "acme", "blue"],
      ["acme", "refused", "acme"],
    ]);
  });

  // Guards against a scan of all customers for each call.
  it("builds the index of keys once for a plan", () => {
    let reads = 0;
    const customers = Array.from({ length: 1_000 }, (_, i): Customer => ({
      ...customer(`c${i}`),
      get keyDigests() {
        reads += 1;
        return [`k${i}`];
      },
    }));
    const plan = planOf(customers);
    for (let i = 0; i < 10_000; i++) {
      decideAccess(plan, CLOSED, `k${i % 1_000}`);
    }
    expect(reads).toBe(1_000);
  });
});

describe("a job", () => {
  // Guards against reading, cancelling or repeating the jobs of other customers.
  it("exists for its owner, and without an owner for everyone whom its queue admits", () => {
    const acme = { customer: "acme", seesAllJobs: false };
    const blue = { customer: "blue", seesAllJobs: false };
    const anonymous = { customer: undefined, seesAllJobs: false };
    const unchecked = { customer: undefined, seesAllJobs: true };
    const callers = [acme, blue, anonymous, unchecked];
    const seen = (owner: string | undefined): boolean[] =>
      callers.map((caller) => isVisibleTo(caller, { customer: owner }));
    expect(seen("acme")).toEqual([true, false, false, true]);
    expect(seen(undefined)).toEqual([true, true, true, true]);
  });
});

describe("a plan of customers", () => {
  function checked(...customers: Customer[]): string {
    const result = checkQueuePlan(planOf(customers));
    return result.ok ? "valid" : `${result.val.kind}: ${result.val.message}`;
  }

  // Guards against a key that names two customers, and against digests in faults, which are logged.
  it("is invalid if customers share a key or a name, and the fault names no digest", () => {
    const shared = "5e884898da28047151d0e56f8dc62927";
    const faults = [
      checked(customer("acme", "a", shared), customer("blue", shared)),
      checked(customer("acme", "a"), customer("blue"), customer("acme", "b")),
    ];
    expect(faults).toMatchInlineSnapshot(`
      [
        "invalid: Customers "acme" and "blue" share a key",
        "invalid: Customer "acme" is listed twice",
      ]
    `);
    expect(faults.join()).not.toContain(shared);
  });

  it("is valid if a customer lists a key twice or has none", () => {
    expect(checked(customer("acme", "a", "a"), customer("blue"))).toBe("valid");
  });
});
