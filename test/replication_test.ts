import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callAdmin } from "@quetzalcove/emulator";
import { Cluster } from "./harness/cluster.ts";
import { linearizabilityViolation } from "./harness/history.ts";
import {
  type ChangeWorkload,
  lostChanges,
  Operators,
} from "./harness/operators.ts";
import { testInventory, testRules } from "./harness/services.ts";

const SNAPSHOT_INTERVAL_ENTRIES = 50;

describe("the replicated configuration of five voters", () => {
  const cluster = new Cluster({
    entries: 5,
    replicas: 5,
    settings: {
      raft: {
        heartbeatMs: 150,
        electionMinMs: 600,
        snapshotEveryEntries: SNAPSHOT_INTERVAL_ENTRIES,
      },
    },
  });
  const configuration = { inventory: testInventory(4), rules: testRules() };

  beforeAll(() => cluster.start());
  afterAll(() => cluster.stop());

  const othersOf = (...names: string[]): string[] =>
    cluster.names.filter((name) => !names.includes(name));

  const workloadAt = (entries: () => readonly string[]): ChangeWorkload => ({
    cluster,
    nextConfiguration: () => configuration,
    entries,
  });

  const version = async (name: string): Promise<number> =>
    (await cluster.status(name))?.version ?? -1;

  /** Waits until the first of the given daemons reports a leader other than `old`, and returns it. */
  const waitForOtherLeader = async (
    old: string,
    from: readonly string[],
  ): Promise<string> => {
    let leader: string | null | undefined;
    await cluster.waitFor(`a leader other than ${old}`, async () => {
      leader = (await cluster.status(from[0] ?? ""))?.leader;
      return leader !== undefined && leader !== null && leader !== old;
    });
    return leader ?? "";
  };

  /** Transfers the leadership to a daemon and waits until it leads with the expected version. */
  const waitForLeaderWithVersion = async (
    name: string,
    expected: number,
  ): Promise<void> => {
    await cluster.waitFor(
      `${name} leads with version ${expected}`,
      async () => {
        const status = await cluster.status(name);
        if (status?.leader !== name) {
          const at = cluster.admin(status?.leader ?? name);
          await callAdmin(at, "/v1/replicas/transfer", { entry: name });
        }
        return status?.leader === name && status.version === expected;
      },
    );
  };

  /** Runs concurrent operators while `fault` injects and ends a fault, and checks their history. */
  const checkUnderFault = async (
    from: () => readonly string[],
    fault: (operators: Operators) => Promise<void>,
  ): Promise<void> => {
    const before = await version(from()[0] ?? "");
    const operators = new Operators(workloadAt(from));
    operators.start(4);
    await operators.waitForAccepted(10);
    await fault(operators);
    await operators.waitForAccepted(10);
    await operators.stop();
    expect(linearizabilityViolation(operators.history, before)).toBeUndefined();
    expect(await lostChanges(workloadAt(from), operators.accepted)).toEqual([]);
  };

  it("loses no accepted change when the leader is killed under concurrent changes", async () => {
    let from: readonly string[] = cluster.names;
    await checkUnderFault(() => from, async (operators) => {
      for (let round = 0; round < 2; round += 1) {
        const leader = await cluster.leader(from);
        from = othersOf(leader);
        await cluster.kill(leader);
        await waitForOtherLeader(leader, from);
        await operators.waitForAccepted(10);
        cluster.startDaemon(leader);
        from = cluster.names;
      }
    });
  });

  it("returns no stale version when the leader was frozen past every lease", async () => {
    const leader = await cluster.leader();
    const others = othersOf(leader);
    await checkUnderFault(() => others, async (operators) => {
      cluster.signal(leader, "SIGSTOP");
      await waitForOtherLeader(leader, others);
      await cluster.waitFor(
        "the end of all leases of the frozen process",
        async () => {
          const status = await cluster.status(others[0] ?? "");
          const own = status?.entries.find((one) => one.entry === leader);
          return status !== undefined && (own === undefined || own.leaseMs < 0);
        },
      );
      await operators.waitForAccepted(10);
      const accepted = await version(others[0] ?? "");
      cluster.signal(leader, "SIGCONT");
      await cluster.waitFor("a read at the former leader", async () => {
        const current = await version(leader);
        expect(current === -1 || current >= accepted).toBe(true);
        return current >= accepted;
      });
    });
  });

  it.each(
    [
      ["partitioned in both directions", { out: "silent", back: "silent" }],
      ["partitioned in its outgoing direction", {
        out: "silent",
        back: "open",
      }],
    ] as const,
  )(
    "remains available without a leader that is %s and returns no stale versions",
    async (_name, traffic) => {
      const leader = await cluster.leader();
      const others = othersOf(leader);
      await checkUnderFault(() => others, async (operators) => {
        for (const other of others) {
          cluster.relay(leader, other).dropBytes(traffic);
          cluster.relay(other, leader).dropBytes(
            traffic.back === "silent"
              ? traffic
              : { out: "open", back: "silent" },
          );
        }
        await waitForOtherLeader(leader, others);
        await operators.waitForAccepted(10);
        const accepted = await version(others[0] ?? "");
        const old = await cluster.status(leader);
        expect(old === undefined || old.version >= accepted).toBe(true);
        cluster.relaysOf(leader).forEach((relay) => relay.heal());
        await cluster.waitFor(
          `${leader} to catch up`,
          async () => await version(leader) >= accepted,
        );
      });
    },
  );

  it("brings a minority up to date by a snapshot after hundreds of changes", async () => {
    const leader = await cluster.leader();
    const [first = "", second = ""] = othersOf(leader);
    const others = othersOf(first, second);
    const relays = [first, second].flatMap((name) => cluster.relaysOf(name));
    const snapshotMentions = (name: string): number =>
      cluster.log(name).split("raft.snapshot").length;
    const before = snapshotMentions(leader);
    relays.forEach((relay) => relay.dropBytes());
    const operators = new Operators(workloadAt(() => others));
    operators.start(4);
    await operators.waitForAccepted(300);
    await operators.stop();
    expect(snapshotMentions(leader)).toBeGreaterThan(before);
    relays.forEach((relay) => relay.heal());
    const last = await version(leader);
    await waitForLeaderWithVersion(first, last);
    await waitForLeaderWithVersion(second, last);
  });
});
