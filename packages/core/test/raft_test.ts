import { RaftMessage, type RaftOutput } from "@quetzalcove/core";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { describe, expect, test } from "vitest";
import { Group, idOf, memberNamed } from "./raft_group.ts";

const THREE = ["e1", "e2", "e3"];

function isolate(group: Group, entry: string): void {
  const id = idOf(entry);
  group.isLost = ({ from, to }) => from === id || to === id;
}

/** A follower's answer that accepts all appends of an output. */
function acceptedAnswer(
  { write, messages }: RaftOutput,
  from: string,
): RaftMessage {
  const { term } = messages[0]!;
  const index = write.entries.at(-1)!.index;
  return {
    kind: "append_answer",
    from,
    to: idOf("e1"),
    term,
    accepted: true,
    index,
    hintIndex: 0,
    hintTerm: 0,
  };
}

describe("a single voter", () => {
  test("becomes leader at its first tick and commits once its write is synced", () => {
    const group = new Group("e1");
    group.node("e1").raft.tick(0);
    const election = group.node("e1").raft.takeOutput();
    expect(group.node("e1").raft.status.role).toBe("candidate");
    group.node("e1").raft.reportSynced(election.id, 0);
    expect(group.node("e1").raft.status.role).toBe("leader");
    group.settle();
    group.propose("e1", "a", "b");
    expect(group.node("e1").applied).toEqual(["a", "b"]);
  });

  test("keeps its log across a restart", () => {
    const group = Group.of(["e1"]);
    group.propose("e1", "a");
    group.restart("e1");
    group.advance(10);
    expect(group.node("e1").applied).toEqual(["a"]);
  });

  test("cannot be removed", () => {
    const group = Group.of(["e1"]);
    const change = { kind: "remove", replica: idOf("e1") } as const;
    const result = group.node("e1").raft.changeMembership(change, group.now);
    expect(result.val).toMatchObject({ kind: "conflict" });
  });
});

describe("an empty replica", () => {
  test("never starts an election", () => {
    const group = new Group("e1");
    group.start("e2", { hardState: { term: 0 }, entries: [] });
    group.isLost = () => true;
    group.advance(20_000);
    expect(group.sent.filter(({ from }) => from === idOf("e2"))).toEqual([]);
  });
});

describe("elections", () => {
  test("replace an isolated leader, which steps down", () => {
    const group = Group.of(THREE);
    isolate(group, "e1");
    group.advance(3_000);
    expect(group.leaders).toHaveLength(1);
    expect(group.leaders).not.toContain("e1");
    expect(group.node("e1").raft.status.role).not.toBe("leader");
  });

  test("leave the term of an isolated replica unchanged", () => {
    const group = Group.of(THREE);
    const { term } = group.node("e3").raft.status;
    isolate(group, "e3");
    group.advance(60_000);
    group.isLost = () => false;
    group.advance(3_000);
    expect(group.leaders).toEqual(["e1"]);
    expect(group.node("e3").raft.status).toMatchObject({
      term,
      leader: idOf("e1"),
    });
  });

  test("do not elect a candidate whose log is behind", () => {
    const group = Group.of(THREE);
    isolate(group, "e3");
    group.propose("e1", "a");
    group.isLost = ({ from, to }) => from === idOf("e1") || to === idOf("e1");
    group.advance(6_000);
    expect(group.leaders).toEqual(["e2"]);
    group.isLost = () => false;
    group.advance(3_000);
    expect(group.node("e3").applied).toEqual(["a"]);
  });
});

describe("processes that restart", () => {
  const LEASE_MS = 500;
  /** Several pre-votes, a heartbeat or two apart. */
  const ELECTION_MS = 750;

  test("elect a leader soon after the lease of a leader that was lost with them", () => {
    const group = Group.of(THREE);
    group.propose("e1", "a");
    THREE.forEach((entry) => group.restart(entry));
    group.advance(LEASE_MS);
    expect(group.leaders).toEqual([]);
    group.advance(ELECTION_MS);
    expect(group.leaders).toHaveLength(1);
    expect(group.node("e2").applied).toEqual(["a"]);
  });

  test("elect a leader soon after a majority is back", () => {
    const group = Group.of(THREE);
    THREE.forEach((entry) => group.restart(entry));
    group.isLost = () => true;
    group.advance(20_000);
    group.isLost = ({ from, to }) => from === idOf("e3") || to === idOf("e3");
    group.advance(ELECTION_MS);
    expect(group.leaders).toHaveLength(1);
  });

  // Guards against a candidate that is refused right before the others may vote, and tries again much later.
  test("elect a leader as soon as a majority has waited for the lease", () => {
    const group = Group.of(THREE);
    group.isLost = ({ from, to }) => from === idOf("e3") || to === idOf("e3");
    group.restart("e1");
    group.advance(200);
    group.restart("e2");
    group.advance(500);
    expect(group.leaders).toEqual([]);
    group.advance(40);
    expect(group.leaders).toEqual(["e1"]);
  });

  test("do not elect another leader while one may hold a lease by their earlier answers", () => {
    const group = Group.of(THREE);
    const { raft } = group.node("e1");
    raft.readIndex("r1", group.now).unwrap();
    group.settle();
    isolate(group, "e1");
    group.restart("e2");
    group.restart("e3");
    group.advance(LEASE_MS);
    expect(group.leaders).toEqual(["e1"]);
  });

  test("elect a leader although votes take longer than the interval of pre-votes", () => {
    for (let seed = 1; seed <= 20; seed++) {
      const generator = xoroshiro128plus(seed);
      const group = Group.of(THREE, { heartbeatMs: 100, electionMs: 1_000 });
      group.random = () => uniformInt(generator, 0, 999) / 1_000;
      THREE.forEach((entry) => group.restart(entry));
      group.delayMs = 120;
      group.advance(10_000);
      expect(group.leaders).toHaveLength(1);
    }
  });

  test("do not disturb a leader that is in contact with the others", () => {
    const group = Group.of(THREE);
    const { term } = group.node("e1").raft.status;
    group.isLost = ({ from, to }) => from === idOf("e1") && to === idOf("e3");
    group.restart("e3");
    group.advance(20_000);
    expect(group.leaders).toEqual(["e1"]);
    expect(group.node("e1").raft.status.term).toBe(term);
  });
});

describe("replication", () => {
  test("overwrites entries that a deposed leader did not commit", () => {
    const group = Group.of(THREE);
    isolate(group, "e1");
    group.propose("e1", "lost-1", "lost-2");
    group.advance(3_000);
    const [leader = ""] = group.leaders;
    group.propose(leader, "kept");
    group.isLost = () => false;
    group.advance(3_000);
    for (const entry of THREE) {
      expect(group.node(entry).applied).toEqual(["kept"]);
    }
  });

  test("refuses commands at a follower and names the leader", () => {
    const group = Group.of(THREE);
    const result = group.node("e2").raft.propose(["a"], group.now);
    expect(result.val).toMatchObject({
      kind: "not_leader",
      leader: idOf("e1"),
      outcome: "not run",
    });
  });

  test("refuses commands while the backlog of uncommitted entries is full", () => {
    const group = Group.of(THREE, { maxBacklogSize: 1_000 });
    isolate(group, "e1");
    group.propose("e1", "x".repeat(2_000));
    const { raft } = group.node("e1");
    expect(raft.propose(["y"], group.now).val).toMatchObject({
      kind: "overloaded",
      outcome: "not run",
    });
    group.isLost = () => false;
    group.advance(500);
    expect(raft.propose(["y"], group.now).ok).toBe(true);
  });

  test("refuses commands while the backlog of entries not synced by the leader is full", () => {
    const group = Group.of(THREE, { maxBacklogSize: 1_000 });
    const { raft } = group.node("e1");
    raft.propose(["x".repeat(2_000)], group.now).unwrap();
    const output = raft.takeOutput();
    for (const from of [idOf("e2"), idOf("e3")]) {
      raft.receive(acceptedAnswer(output, from), group.now);
    }
    expect(raft.status.commit).toBe(raft.status.lastIndex);
    expect(raft.propose(["y"], group.now).val).toMatchObject({
      kind: "overloaded",
    });
    raft.reportSynced(output.id, group.now);
    expect(raft.propose(["y"], group.now).ok).toBe(true);
  });

  test("limits the appends in flight to a replica that does not answer", () => {
    const group = Group.of(THREE);
    isolate(group, "e3");
    group.sent.length = 0;
    for (let i = 0; i < 500; i++) {
      group.propose("e1", "x".repeat(10_000));
    }
    group.advance(2_000);
    const appends = group.sent.filter(({ kind, to }) =>
      kind === "append" && to === idOf("e3")
    );
    const size = JSON.stringify(appends).length;
    expect(size).toBeLessThan(1_500_000);
  });

  test("resumes after all messages of a full window were lost", () => {
    const group = Group.of(THREE);
    isolate(group, "e3");
    for (let i = 0; i < 200; i++) {
      group.propose("e1", `w${i}`);
    }
    group.isLost = () => false;
    group.advance(1_000);
    expect(group.node("e3").applied).toEqual(group.node("e1").applied);
  });

  // Guards against a leader that spends its processor on a message to each follower for each commit.
  test("carries the commit index on the appends of a busy leader, and sends it alone only when the log is idle", () => {
    const group = Group.of(THREE);
    const { raft } = group.node("e1");
    const propose = (command: string): RaftOutput => {
      raft.propose([command], group.now).unwrap();
      const output = raft.takeOutput();
      raft.reportSynced(output.id, group.now);
      return output;
    };
    const first = propose("a");
    const second = propose("b");
    raft.receive(acceptedAnswer(first, idOf("e2")), group.now);
    const whileBusy = raft.takeOutput();
    expect(whileBusy.committed.map(({ index }) => index))
      .toEqual([first.write.entries[0]?.index]);
    expect(whileBusy.messages).toEqual([]);
    raft.receive(acceptedAnswer(second, idOf("e2")), group.now);
    expect(raft.takeOutput().messages).toMatchObject([{
      kind: "append",
      to: idOf("e2"),
      entries: [],
      commit: second.write.entries[0]?.index,
    }]);
  });

  test("sends messages that match their schema", () => {
    const group = Group.of(THREE);
    group.propose("e1", "a");
    for (const message of group.sent) {
      expect(RaftMessage.parse(message)).toEqual(message);
    }
  });
});

// Guards against ordinary commands that are refused for as long as someone sends large ones.
test("large commands leave room in the backlog for small ones", () => {
  const group = Group.of(THREE, { maxBacklogSize: 40_000 });
  const { raft } = group.node("e1");
  group.isLost = () => true;
  const isAccepted = (length: number): boolean =>
    raft.propose(["x".repeat(length)], group.now).ok;
  expect([100_000, 9_000].map(isAccepted)).toEqual([true, false]);
  const other = Group.of(THREE, { maxBacklogSize: 40_000 });
  other.isLost = () => true;
  const proposed = Array.from(
    { length: 10 },
    () => other.node("e1").raft.propose(["x".repeat(5_000)], other.now).ok,
  );
  expect(proposed.filter(Boolean).length).toBeLessThan(7);
  expect(other.node("e1").raft.propose(["small"], other.now).ok).toBe(true);
});

// Guards against a group that is stuck for good: an earlier version stored entries that no link carries as a whole.
describe("entries that are too large for a message", () => {
  const tuning = { maxEntrySize: 1_000, chunkLength: 100 };
  const large = (name: string): string => name.repeat(1_500);

  function committed(group: Group): unknown[] {
    ["a", large("b"), "c", large("d"), "e"].forEach((data) =>
      group.propose("e1", data)
    );
    group.advance(6_000);
    return ["e1", "e2", "e3"].map((name) =>
      group.node(name).applied.map((data) => data[0])
    );
  }

  const ALL = ["a", "b", "c", "d", "e"];

  test("are sent in chunks, each after the answer to the one before", () => {
    const group = Group.of(THREE, tuning);
    expect(committed(group)).toEqual([ALL, ALL, ALL]);
    const sent = group.sent.flatMap((message) => {
      switch (message.kind) {
        case "append":
          return message.entries.map((entry) =>
            entry.kind === "command" ? entry.data.length : 0
          );
        case "entry_chunk":
          return message.chunk.length;
        default:
          return [];
      }
    });
    expect(Math.max(...sent)).toBe(100);
    expect(group.node("e3").applied[1]).toBe(large("b"));
  });

  test("arrive although chunks and answers are lost", () => {
    const group = Group.of(THREE, tuning);
    let messages = 0;
    group.isLost = ({ kind }) =>
      kind.startsWith("entry_chunk") && ++messages % 7 === 0;
    expect(committed(group)).toEqual([ALL, ALL, ALL]);
  });

  test("bring a replica up to date that returns behind them", () => {
    const group = Group.of(THREE, tuning);
    isolate(group, "e3");
    ["a", large("b"), "c"].forEach((data) => group.propose("e1", data));
    group.advance(3_000);
    group.isLost = () => false;
    group.advance(3_000);
    expect(group.node("e3").applied).toEqual(["a", large("b"), "c"]);
  });
});

describe("snapshots", () => {
  const tuning = { trailingEntries: 4 };

  function compacted(): Group {
    const group = Group.of(THREE, tuning);
    isolate(group, "e3");
    for (let i = 0; i < 300; i++) {
      group.propose("e1", `${i}-${"x".repeat(1_000)}`);
    }
    const { raft, applied } = group.node("e1");
    const data = JSON.stringify(applied);
    raft.compact(raft.status.applied, data).unwrap();
    return group;
  }

  test("bring a returning replica up to date in bounded chunks", () => {
    const group = compacted();
    group.isLost = () => false;
    group.advance(3_000);
    expect(group.node("e3").applied).toEqual(group.node("e1").applied);
    const chunks = group.sent.filter(({ kind }) => kind === "snapshot");
    expect(chunks.length).toBeGreaterThan(3);
    for (const chunk of chunks) {
      expect(Buffer.byteLength(JSON.stringify(chunk))).toBeLessThan(262_144);
    }
    group.propose("e1", "after");
    expect(group.node("e3").applied.at(-1)).toBe("after");
  });

  test("resume at the chunk that was lost", () => {
    const group = compacted();
    let chunks = 0;
    group.isLost = ({ kind }) => kind === "snapshot" && ++chunks === 3;
    group.advance(5_000);
    expect(group.node("e3").applied).toEqual(group.node("e1").applied);
  });

  test("free most of the log even if its entries are large", () => {
    const group = new Group("e1", { maxLogSize: 10_000 });
    group.advance(10);
    const { raft, applied } = group.node("e1");
    let compactions = 0;
    for (let i = 0; i < 20; i++) {
      group.propose("e1", "x".repeat(2_000));
      if (raft.compactionDue) {
        raft.compact(raft.status.applied, JSON.stringify(applied)).unwrap();
        compactions += 1;
      }
    }
    expect(compactions).toBeGreaterThan(0);
    expect(compactions).toBeLessThanOrEqual(20 / 3);
  });

  test("resend a lost chunk after a heartbeat", () => {
    const group = compacted();
    let chunks = 0;
    group.isLost = ({ kind }) => kind === "snapshot" && ++chunks === 1;
    group.advance(900);
    expect(group.node("e3").applied).toEqual(group.node("e1").applied);
  });

  test("are due only once `compact` would accept them", () => {
    const { raft } = new Group("e2", { maxLogEntries: 2 }).node("e2");
    const entries = [2, 3, 4].map((index) => ({
      kind: "command" as const,
      index,
      term: 2,
      data: "x",
    }));
    raft.receive({
      kind: "append",
      from: idOf("e1"),
      to: idOf("e2"),
      term: 2,
      previousIndex: 1,
      previousTerm: 1,
      entries,
      commit: 4,
    }, 0);
    const output = raft.takeOutput();
    expect(raft.status.applied).toBe(4);
    expect(raft.compactionDue).toBe(false);
    raft.reportSynced(output.id, 0);
    expect(raft.compactionDue).toBe(true);
  });

  test("keep the later entries of a follower whose log holds the snapshot's last entry", () => {
    const { raft } = new Group("e2").node("e2");
    const position = { from: idOf("e1"), to: idOf("e2"), term: 2 };
    const entries = [2, 3, 4].map((index) => ({
      kind: "command" as const,
      index,
      term: 2,
      data: "x",
    }));
    raft.receive({
      kind: "append",
      ...position,
      previousIndex: 1,
      previousTerm: 1,
      entries,
      commit: 1,
    }, 0);
    const head = { index: 3, term: 2, membership: raft.membership };
    raft.receive({
      kind: "snapshot",
      ...position,
      head,
      offset: 0,
      chunk: "[]",
      last: true,
    }, 0);
    expect(raft.takeOutput().write).toMatchObject({ entries });
    expect(raft.status).toMatchObject({ commit: 3, lastIndex: 4 });
  });

  test("are refused above the applied index", () => {
    const group = Group.of(["e1"]);
    const { raft } = group.node("e1");
    const result = raft.compact(raft.status.applied + 1, "[]");
    expect(result.val).toMatchObject({ kind: "conflict" });
  });
});

describe("membership", () => {
  test("promotes a learner only when it has caught up", () => {
    const group = Group.of(THREE);
    const { raft } = group.node("e1");
    group.change("e1", { kind: "add", member: memberNamed("e4") });
    const promote = { kind: "promote", replica: idOf("e4") } as const;
    expect(raft.changeMembership(promote, group.now).val).toMatchObject({
      kind: "conflict",
      outcome: "not run",
    });
    group.start("e4", { hardState: { term: 0 }, entries: [] });
    group.advance(1_000);
    group.change("e1", promote);
    expect(raft.membership.members.map((m) => m.standing)).toEqual(
      Array(4).fill("voter"),
    );
  });

  test("refuses a removal that would leave no majority in contact", () => {
    const group = Group.of(THREE);
    isolate(group, "e3");
    group.advance(1_500);
    const { raft } = group.node("e1");
    const healthy = { kind: "remove", replica: idOf("e2") } as const;
    expect(raft.changeMembership(healthy, group.now).val).toMatchObject({
      kind: "conflict",
      outcome: "not run",
    });
    const silent = { kind: "remove", replica: idOf("e3") } as const;
    expect(raft.changeMembership(silent, group.now).ok).toBe(true);
  });

  test("a new leader counts only the voters that answered it", () => {
    const group = Group.of(THREE);
    isolate(group, "e3");
    group.advance(1_500);
    group.node("e1").raft.transferLeadership(idOf("e2"), group.now).unwrap();
    group.settle();
    const change = { kind: "remove", replica: idOf("e1") } as const;
    const { raft } = group.node("e2");
    expect(raft.changeMembership(change, group.now).val).toMatchObject({
      kind: "conflict",
    });
  });

  test("waits until an entry of the leader's own term is committed", () => {
    const group = Group.of(THREE);
    const { raft } = group.node("e2");
    group.isLost = ({ kind, from }) => kind === "append" && from === idOf("e2");
    group.node("e1").raft.transferLeadership(idOf("e2"), group.now).unwrap();
    group.advance(300);
    expect(raft.status.role).toBe("leader");
    const change = { kind: "add", member: memberNamed("e4") } as const;
    expect(raft.changeMembership(change, group.now).val).toMatchObject({
      kind: "conflict",
    });
    group.isLost = () => false;
    group.advance(500);
    expect(raft.changeMembership(change, group.now).ok).toBe(true);
  });

  test("allows one change at a time", () => {
    const group = Group.of(THREE);
    const { raft } = group.node("e1");
    group.isLost = () => true;
    group.change("e1", { kind: "add", member: memberNamed("e4") });
    const next = { kind: "remove", replica: idOf("e3") } as const;
    expect(raft.changeMembership(next, group.now).val).toMatchObject({
      kind: "conflict",
    });
  });

  test("a removed replica does not disrupt the others", () => {
    const group = Group.of(THREE);
    group.change("e1", { kind: "remove", replica: idOf("e3") });
    const { term } = group.node("e1").raft.status;
    group.advance(20_000);
    expect(group.leaders).toEqual(["e1"]);
    expect(group.node("e1").raft.status.term).toBe(term);
  });

  test("an only voter that is left waits for the lease of the leader that removed itself", () => {
    const group = Group.of(["e1", "e2"]);
    // The leader does not hear that its removal is committed.
    group.isLost = ({ to }) => to === idOf("e1");
    group.change("e1", { kind: "remove", replica: idOf("e1") });
    isolate(group, "e1");
    group.advance(900);
    expect(group.leaders).toEqual(["e1"]);
    group.advance(200);
    expect(group.leaders).toContain("e2");
  });

  test("a leader that removes itself steps down in favour of another", () => {
    const group = Group.of(THREE);
    group.change("e1", { kind: "remove", replica: idOf("e1") });
    group.advance(100);
    expect(group.leaders).toHaveLength(1);
    expect(group.leaders).not.toContain("e1");
  });
});

describe("leadership transfer", () => {
  test("elects the target at once and keeps the commands", () => {
    const group = Group.of(THREE);
    group.propose("e1", "a");
    group.node("e1").raft.transferLeadership(idOf("e2"), group.now).unwrap();
    group.settle();
    expect(group.leaders).toEqual(["e2"]);
    group.propose("e2", "b");
    expect(group.node("e2").applied).toEqual(["a", "b"]);
  });

  test("to an unreachable voter is abandoned after an election timeout", () => {
    const group = Group.of(THREE);
    isolate(group, "e2");
    const { raft } = group.node("e1");
    raft.transferLeadership(idOf("e2"), group.now).unwrap();
    expect(raft.propose(["a"], group.now).ok).toBe(false);
    group.advance(1_500);
    expect(raft.propose(["a"], group.now).ok).toBe(true);
  });
});

describe("read index", () => {
  test("answers with the commit index after a round of heartbeats", () => {
    const group = Group.of(THREE);
    group.propose("e1", "a");
    const { raft, reads } = group.node("e1");
    raft.readIndex("r1", group.now).unwrap();
    expect(reads).toEqual([]);
    group.settle();
    expect(reads).toEqual([{ context: "r1", index: raft.status.commit }]);
  });

  test("is reported as lost when the leader steps down", () => {
    const group = Group.of(THREE);
    isolate(group, "e1");
    const { raft, reads, lostReads } = group.node("e1");
    raft.readIndex("r1", group.now).unwrap();
    group.advance(2_000);
    expect(reads).toEqual([]);
    expect(lostReads).toEqual(["r1"]);
  });
});
