import { describe, expect, it } from "vitest";
import { SchedulerSettings } from "@quetzalcove/core/scheduling";
import { Group, idOf } from "./raft_group.ts";

const REPLICAS = ["a", "b", "c", "d", "e"];

/** Longest pause of a busy leader that its followers must tolerate, in milliseconds. */
const TOLERATED_PAUSE_MS = 300;

/** Time in which a lost leader must be replaced, in milliseconds: about the duration of one short task. */
const TAKEOVER_MS = 700;

/** Five replicas with the default settings; "a" leads. */
function defaultGroup(): Group {
  const { heartbeatMs, electionMinMs } = SchedulerSettings.shape.raft.parse({});
  return Group.of(REPLICAS, { heartbeatMs, electionMs: electionMinMs });
}

describe("a leader of the scheduler with the default settings", () => {
  it("that is lost is replaced within the duration of a short task", () => {
    const group = defaultGroup();
    group.isLost = ({ from }) => from === idOf("a");
    group.advance(TAKEOVER_MS);
    expect(group.leaders).toEqual(["e"]);
  });

  it("that sends nothing during a short pause stays the leader", () => {
    const group = defaultGroup();
    const { term } = group.node("a").raft.status;
    group.isLost = ({ from }) => from === idOf("a");
    group.advance(TOLERATED_PAUSE_MS);
    group.isLost = () => false;
    group.advance(2_000);
    expect(group.leaders).toEqual(["a"]);
    expect(group.node("a").raft.status.term).toBe(term);
  });

  // Guards against a group that waits a whole election timeout after the time that its processes took to start.
  it("is replaced soon after all replicas were killed and took a while to start", () => {
    const group = defaultGroup();
    REPLICAS.forEach((entry) => group.restart(entry, 400));
    group.advance(300);
    expect(group.leaders).toHaveLength(1);
  });

  it("is not replaced within an election timeout of the start of its followers' processes", () => {
    const group = defaultGroup();
    const { term } = group.node("a").raft.status;
    REPLICAS.forEach((entry) => group.restart(entry, 400));
    group.advance(90);
    expect(group.leaders).toEqual([]);
    expect(group.node("a").raft.status.term).toBe(term);
  });
});
