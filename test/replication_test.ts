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

const SNAPSHOT_EVERY = 50;

describe("the replicated state of five voters", () => {
  const cluster = new Cluster({
    entries: 5,
    replicas: 5,
    settings: {
      raft: {
        heartbeatMs: 150,
        electionMinMs: 600,
        snapshotEveryEntries: SNAPSHOT_EVERY,
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

  /** Waits until the given daemons name a leader that is not the given one. */
  const another = async (
    old: string,
    from: readonly string[],
  ): Promise<string> => {
    let leader: string | null | undefined;
    await cluster.waitFor(`a leader after ${old}`, async () => {
      leader = (await cluster.status(from[0] ?? ""))?.leader;
      return leader !== undefined && leader !== null && leader !== old;
    });
    return leader ?? "";
  };

  /** Waits until all replicas hold the log, then lets one of them lead and tell its version. */
  const holds = async (name: string, expected: number): Promise<void> => {
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

  /** Lets operators race while a fault comes and goes, and checks their history. */
  const race = async (
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

  it("loses no accepted change when the leader is killed in a storm of changes", async () => {
    let from: readonly string[] = cluster.names;
    await race(() => from, async (operators) => {
      for (let round = 0; round < 2; round += 1) {
        const leader = await cluster.leader(from);
        from = othersOf(leader);
        await cluster.kill(leader);
        await another(leader, from);
        await operators.waitForAccepted(10);
        cluster.startDaemon(leader);
        from = cluster.names;
      }
    });
  });

  it("does not go back when the leader was frozen past every lease", async () => {
    const leader = await cluster.leader();
    const others = othersOf(leader);
    await race(() => others, async (operators) => {
      cluster.signal(leader, "SIGSTOP");
      await another(leader, others);
      await cluster.waitFor(
        "all leases of the frozen process have ended",
        async () => {
          const status = await cluster.status(others[0] ?? "");
          const own = status?.entries.find((one) => one.entry === leader);
          return status !== undefined && (own === undefined || own.leaseMs < 0);
        },
      );
      await operators.waitForAccepted(10);
      const accepted = await version(others[0] ?? "");
      cluster.signal(leader, "SIGCONT");
      await cluster.waitFor("a read at the old leader", async () => {
        const current = await version(leader);
        expect(current === -1 || current >= accepted).toBe(true);
        return current >= accepted;
      });
    });
  });

  it.each(
    [
      ["silent in both directions", { out: "silent", back: "silent" }],
      ["not heard by the others", { out: "silent", back: "open" }],
    ] as const,
  )(
    "goes on without a leader that is %s, and without old answers from it",
    async (_name, passage) => {
      const leader = await cluster.leader();
      const others = othersOf(leader);
      await race(() => others, async (operators) => {
        for (const other of others) {
          cluster.relay(leader, other).silence(passage);
          cluster.relay(other, leader).silence(
            passage.back === "silent"
              ? passage
              : { out: "open", back: "silent" },
          );
        }
        await another(leader, others);
        await operators.waitForAccepted(10);
        const accepted = await version(others[0] ?? "");
        const old = await cluster.status(leader);
        expect(old === undefined || old.version >= accepted).toBe(true);
        cluster.relaysOf(leader).forEach((relay) => relay.heal());
        await cluster.waitFor(
          `${leader} follows`,
          async () => await version(leader) >= accepted,
        );
      });
    },
  );

  it("brings a minority back after hundreds of changes by a snapshot", async () => {
    const leader = await cluster.leader();
    const [first = "", second = ""] = othersOf(leader);
    const others = othersOf(first, second);
    const relays = [first, second].flatMap((name) => cluster.relaysOf(name));
    const installed = (name: string): number =>
      cluster.log(name).split("raft.snapshot").length;
    const before = installed(leader);
    relays.forEach((relay) => relay.silence());
    const operators = new Operators(workloadAt(() => others));
    operators.start(4);
    await operators.waitForAccepted(300);
    await operators.stop();
    expect(installed(leader)).toBeGreaterThan(before);
    relays.forEach((relay) => relay.heal());
    const last = await version(leader);
    await holds(first, last);
    await holds(second, last);
  });
});
