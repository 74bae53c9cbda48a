import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { MAX_LOG_ENTRIES, ReplicaGroup } from "./replica_group.ts";

/** Time within which the platform counts on a machine that is new or back. */
const CATCH_UP_MS = 4_000;

let group: ReplicaGroup;

beforeEach(async () => {
  vi.useFakeTimers();
  group = await ReplicaGroup.of("a", "b", "c", "d", "e");
  await vi.advanceTimersByTimeAsync(3_000);
});

afterEach(async () => {
  await group.stop();
  vi.useRealTimers();
});

/** Two followers; the second one is lost for good. */
function followers(): [string, string] {
  const [first = "", second = ""] = ["a", "b", "c", "d", "e"].filter((host) =>
    host !== group.leader
  );
  return [first, second];
}

/** Whether the group commits a command. */
async function canCommit(): Promise<boolean> {
  const committed = group.commit("change");
  await vi.advanceTimersByTimeAsync(100);
  return await Promise.race([committed, false]);
}

/** Two initial voters other than the given ones lose power and their disks, and are back a second later. */
async function loseTwoDisks(...others: string[]): Promise<void> {
  const wiped = ["a", "b", "c", "d", "e"].filter((host) =>
    !others.includes(host)
  ).slice(0, 2);
  for (const host of wiped) {
    await group.kill(host);
  }
  await vi.advanceTimersByTimeAsync(1_000);
  for (const host of wiped) {
    await group.add(host, "0002");
  }
  await vi.advanceTimersByTimeAsync(2 * CATCH_UP_MS);
}

/** Replaces a voter that is away for a while, and then one that is lost for good. */
async function replaceBoth(away: string, gone: string): Promise<void> {
  await group.add("f");
  await vi.advanceTimersByTimeAsync(CATCH_UP_MS);
  expect(group.members).toContain("f#0001 follower");
  expect(group.members).not.toContain(`${away}#founder follower`);
  await group.kill(gone);
}

/** The hosts that are to be voters when one is lost for good and another has taken its place. */
function survivors(gone: string): string[] {
  return ["a", "b", "c", "d", "e", "f"].filter((host) => host !== gone)
    .map((host) => `${host}#${host === "f" ? "0001" : "founder"} follower`);
}

// Guards against a sound replica that is removed behind a cut, is told nothing, and never comes back.
it("a voter that was replaced behind a cut takes the place of one that is lost for good", async () => {
  const [away, gone] = followers();
  group.cut(away);
  await replaceBoth(away, gone);
  group.heal(away);
  await vi.advanceTimersByTimeAsync(CATCH_UP_MS);
  expect(group.members).toEqual(survivors(gone));
});

// Guards against the same for a replica whose own log names it as a member after a loss of power.
it("a voter that was replaced while its machine had no power takes the place of one that is lost for good", async () => {
  const [away, gone] = followers();
  await group.kill(away);
  await replaceBoth(away, gone);
  await group.restart(away);
  await vi.advanceTimersByTimeAsync(CATCH_UP_MS);
  expect(group.members).toEqual(survivors(gone));
});

// Guards against the same for a replica that has missed so much that it is sent a snapshot.
it("a voter that was replaced and is behind the log takes the place of one that is lost for good", async () => {
  const [away, gone] = followers();
  group.cut(away);
  const changes = Array.from(
    { length: 2 * MAX_LOG_ENTRIES },
    () => group.commit("change"),
  );
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await Promise.all(changes)).not.toContain(false);
  await replaceBoth(away, gone);
  group.heal(away);
  await vi.advanceTimersByTimeAsync(CATCH_UP_MS);
  expect(group.members).toEqual(survivors(gone));
});

// Guards against a learner that never asks again, since it starts no elections that would end its trust in a leader.
it("a learner that was removed behind a cut joins again", async () => {
  await group.add("f");
  await vi.advanceTimersByTimeAsync(CATCH_UP_MS);
  group.cut("f");
  await vi.advanceTimersByTimeAsync(32_000);
  expect(group.members.join()).not.toContain("f#");
  group.heal("f");
  await vi.advanceTimersByTimeAsync(CATCH_UP_MS);
  expect(group.members).toContain("f#0001 learner");
});

// Guards against a replica that knows none of the present members, because all were replaced while it was away.
it("a replica that returns to a group of other machines finds it by its seeds", async () => {
  const [away] = followers();
  await group.kill(away);
  for (const [i, gone] of ["a", "b", "c", "d", "e"].entries()) {
    await group.add("fghij"[i]!, "0001", [group.leader!]);
    await vi.advanceTimersByTimeAsync(CATCH_UP_MS);
    if (gone !== away) {
      await group.kill(gone);
    }
    await vi.advanceTimersByTimeAsync(CATCH_UP_MS);
  }
  await group.restart(away, ["f", "g", "h"]);
  await vi.advanceTimersByTimeAsync(CATCH_UP_MS);
  expect(group.members).toContain(`${away}#founder learner`);
});

// Guards against the loss of two disks after such a replacement, which left two of five voters.
it("the group survives the loss of two disks after a voter behind a cut was replaced", async () => {
  const [away, gone] = followers();
  group.cut(away);
  await replaceBoth(away, gone);
  group.heal(away);
  await vi.advanceTimersByTimeAsync(CATCH_UP_MS);
  expect(await canCommit()).toBe(true);
  await loseTwoDisks(away, gone);
  expect(await canCommit()).toBe(true);
  expect(group.members).toHaveLength(5);
});

/** Pause between the start of a successor and the end of the machine that it replaces. */
const OVERLAP_MS = 2_000;

// Guards against a machine that counts as a voter for longer than the platform waits before it may take two others.
it("a voter that stops as planned gives its vote to its successor", async () => {
  const [, gone] = followers();
  await group.add("f");
  await vi.advanceTimersByTimeAsync(OVERLAP_MS);
  const left = group.leave(gone);
  await vi.advanceTimersByTimeAsync(500);
  await left;
  expect(group.members).toEqual(survivors(gone));
});

// A planned stop also comes before a restart, after which the replica is wanted again.
it("a voter that stops as planned keeps its vote while no other replica can take it", async () => {
  const [, stopped] = followers();
  const before = group.members;
  const left = group.leave(stopped);
  await vi.advanceTimersByTimeAsync(CATCH_UP_MS);
  await left;
  expect(group.members).toEqual(before);
});

// Guards against the same loss without notice.
it("the group survives the loss of two disks as soon as the platform counts on the successor of a lost machine", async () => {
  const [, gone] = followers();
  await group.add("f");
  await vi.advanceTimersByTimeAsync(OVERLAP_MS);
  await group.kill(gone);
  await vi.advanceTimersByTimeAsync(CATCH_UP_MS - OVERLAP_MS);
  await loseTwoDisks(gone);
  expect(await canCommit()).toBe(true);
  expect(group.members).toHaveLength(5);
});

// The log tells how many of the counted voters answer, which decides what else may be lost.
it("the log tells which voters do not answer", async () => {
  const [away] = followers();
  group.cut(away);
  await vi.advanceTimersByTimeAsync(CATCH_UP_MS);
  group.heal(away);
  await vi.advanceTimersByTimeAsync(CATCH_UP_MS);
  expect(group.events.filter((event) => event.includes("group.voters")))
    .toMatchInlineSnapshot(`
      [
        "b group.voters wanted=5 voters=5",
        "b group.voters wanted=5 voters=5 silent=a#founder",
        "b group.voters wanted=5 voters=5",
      ]
    `);
});
