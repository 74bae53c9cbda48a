import { describe, expect, it } from "vitest";
import { Err, type Fault, fault, Ok, type Result } from "@quetzalcove/core";
import { LeaderClient } from "../src/entry/leader_client.ts";
import { LedgerClient } from "../src/entry/ledger_client.ts";
import { type RefusalParts, refusalReply } from "../src/entry/refusal.ts";

/** Time at which another replica begins to lead, in milliseconds after the leader stopped answering. */
const TAKEOVER_MS = 1_000;

/** Parts of a refusal at an entry whose leader, e2, has stopped answering; e3 leads from `TAKEOVER_MS` on. */
function partsDuringTakeover({ hasLease }: { hasLease: boolean }): {
  parts: RefusalParts;
  calls: { at: number; replica: string }[];
} {
  let now = 0;
  const calls: { at: number; replica: string }[] = [];
  const linkTo = (
    replica: string,
    answer: () => Result<unknown, Fault> | undefined,
  ) => ({
    request: (
      _method: string,
      _params: unknown,
      timeoutMs: number,
    ): Promise<Result<unknown, Fault>> => {
      calls.push({ at: now, replica });
      const received = answer();
      now += received === undefined ? timeoutMs : 1;
      return Promise.resolve(
        received ?? Err(fault("timeout", "No answer in time")),
      );
    },
  });
  const leader = new LeaderClient({
    entry: "e1",
    local: undefined,
    links: new Map([
      ["e2", linkTo("e2", () => undefined)],
      [
        "e3",
        linkTo("e3", () => {
          now += 200;
          return now < TAKEOVER_MS
            ? Err(fault("not_leader", "Nobody leads", { outcome: "not run" }))
            : Ok({ phase: "none" });
        }),
      ],
    ]),
    clock: { monotonic: () => now },
  });
  return {
    parts: {
      ledger: new LedgerClient(leader),
      leaseController: { hasLease: () => hasLease },
    } as unknown as RefusalParts,
    calls,
  };
}

const overloaded = fault("overloaded", "No free slot", { outcome: "not run" });

describe("a refused request with an idempotency key", () => {
  it("is reported as not run although the leader is being replaced", async () => {
    const { parts, calls } = partsDuringTakeover({ hasLease: true });
    const reply = await refusalReply(parts, overloaded, "key-1");
    expect({ status: reply.status, outcome: outcomeOf(reply), calls })
      .toMatchInlineSnapshot(`
        {
          "calls": [
            {
              "at": 0,
              "replica": "e3",
            },
            {
              "at": 201,
              "replica": "e2",
            },
            {
              "at": 901,
              "replica": "e3",
            },
          ],
          "outcome": "not run",
          "status": 503,
        }
      `);
  });

  it("has an unknown outcome at an entry without a lease, which asks nobody", async () => {
    const { parts, calls } = partsDuringTakeover({ hasLease: false });
    const reply = await refusalReply(parts, overloaded, "key-1");
    expect({ outcome: outcomeOf(reply), calls }).toMatchInlineSnapshot(`
      {
        "calls": [],
        "outcome": "unknown",
      }
    `);
  });
});

function outcomeOf({ body }: { body: string | Uint8Array }): unknown {
  return JSON.parse(body.toString()).outcome;
}
