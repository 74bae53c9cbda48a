import { Buffer } from "node:buffer";
import {
  appendFileSync,
  readdirSync,
  readFileSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callAdmin } from "@quetzalcove/emulator";
import { Cluster } from "./harness/cluster.ts";
import { testInventory, testRules } from "./harness/services.ts";

interface ReplicaRow {
  replica: string;
  entry: string;
  role: string;
  matched: number;
}

describe("a replica whose data is lost or damaged", () => {
  const cluster = new Cluster({ entries: 3, replicas: 3 });
  const configuration = { inventory: testInventory(4), rules: testRules() };
  let changes = 0;

  beforeAll(() => cluster.start());
  afterAll(() => cluster.stop());

  /** Sends a change through an entry, retried until it is accepted, and returns the version. */
  const change = async (entry: string): Promise<number> => {
    changes += 1;
    let version: number | undefined;
    await cluster.waitFor("an accepted change", async () => {
      const base = (await cluster.status(entry))?.version;
      if (base === undefined) {
        return false;
      }
      const answer = await cluster.configure(entry, {
        change: `change-${changes}`,
        base,
        ...configuration,
      });
      version = answer?.status === 200 ? answer.value.version : undefined;
      return version !== undefined;
    });
    return version ?? -1;
  };

  const replicas = async (at: string): Promise<ReplicaRow[]> => {
    const answer = await callAdmin<{ replicas?: ReplicaRow[] }>(
      cluster.admin(at),
      "/v1/replicas",
    );
    return answer?.value.replicas ?? [];
  };

  /** Whether all three replicas are voters with the whole log. After a further change, a replica that is down is not. */
  const areCaughtUpVoters = (rows: readonly ReplicaRow[]): boolean =>
    rows.length === 3 &&
    rows.every((row) =>
      row.role !== "learner" && row.matched === rows[0]?.matched
    );

  /** Deletes the data of a stopped daemon, restarts it, and waits until a new replica of it is a voter. */
  const replaceReplica = async (name: string, at: string): Promise<void> => {
    let old: string[] = [];
    await cluster.waitFor("the list of replicas", async () => {
      old = (await replicas(at)).map((row) => row.replica);
      return old.length > 0;
    });
    cluster.loseDisk(name);
    cluster.startDaemon(name);
    await change(at);
    await cluster.waitFor(`a new voter at ${name}`, async () => {
      const rows = await replicas(at);
      return areCaughtUpVoters(rows) &&
        rows.some((row) => row.entry === name && !old.includes(row.replica));
    });
  };

  const waitForVoters = async (at: string): Promise<void> => {
    await change(at);
    await cluster.waitFor(
      "three voters with the whole log",
      async () => areCaughtUpVoters(await replicas(at)),
    );
  };

  const hasPromoted = (name: string, replica: string): boolean =>
    cluster.log(name).split("\n").some((line) =>
      line.includes("event=replica.promoted") &&
      line.includes(`replica=${replica} ok=true`)
    );

  const segmentsOf = (name: string): string[] => {
    const folder = join(cluster.folder, "data", name);
    return readdirSync(folder)
      .filter((file) => file.startsWith("log-"))
      .sort()
      .map((file) => join(folder, file));
  };

  it("is the only way a cluster starts twice, and that is refused at every entry", async () => {
    const before = await replicas("e1");
    const answers = await Promise.all(
      cluster.names.map((name) =>
        callAdmin(cluster.admin(name), "/v1/init", {})
      ),
    );
    expect(answers.map((answer) => answer?.status)).toEqual([409, 409, 409]);
    expect((await replicas("e1")).map((row) => row.replica))
      .toEqual(before.map((row) => row.replica));
  });

  it("comes back as a learner and takes the place of the lost one", async () => {
    const leader = await cluster.leader();
    const lost = cluster.names.find((name) => name !== leader) ?? "";
    const version = await change(leader);
    const before = await replicas(leader);
    let newReplica = "";
    await cluster.kill(lost);
    cluster.loseDisk(lost);
    cluster.startDaemon(lost);
    await cluster.waitFor(
      "the new replica as the only voter of its entry",
      async () => {
        const rows = await replicas(leader);
        const known = new Set(before.map((row) => row.replica));
        newReplica =
          rows.find((row) => row.entry === lost && !known.has(row.replica))
            ?.replica ?? "";
        return areCaughtUpVoters(rows) && newReplica !== "";
      },
    );
    // Only a learner is promoted. Readings of its role may miss the time in which it is one.
    await cluster.waitFor(
      "its promotion in the log of a leader",
      () => cluster.names.some((name) => hasPromoted(name, newReplica)),
    );
    const second =
      cluster.names.find((name) => name !== leader && name !== lost) ?? "";
    await cluster.kill(second);
    expect(await change(lost)).toBeGreaterThan(version);
    cluster.startDaemon(second);
    await waitForVoters(leader);
  });

  it("does not start a second cluster after the founder lost its disk", async () => {
    const version = await change("e2");
    await cluster.kill("e1");
    cluster.loseDisk("e1");
    cluster.startDaemon("e1");
    await cluster.waitFor(
      "an answer of e1",
      async () =>
        (await callAdmin(cluster.admin("e1"), "/healthz")) !== undefined,
    );
    const again = await callAdmin(cluster.admin("e1"), "/v1/init", {});
    expect(again?.status).toBe(409);
    await waitForVoters("e2");
    expect(await change("e1")).toBeGreaterThan(version);
  });

  it("cuts a torn end of its log and goes on", async () => {
    const name = cluster.names.find((one) => one !== "e1") ?? "";
    await cluster.kill(name);
    const last = segmentsOf(name).at(-1) ?? "";
    const truncatedFrame = readFileSync(last).subarray(0, 30);
    appendFileSync(last, truncatedFrame);
    const version = await change("e1");
    cluster.startDaemon(name);
    await waitForVoters("e1");
    await cluster.kill(name);
    appendFileSync(segmentsOf(name).at(-1) ?? "", Buffer.alloc(11, 0xf5));
    cluster.startDaemon(name);
    await waitForVoters("e1");
    expect(await change(name)).toBeGreaterThan(version);
  });

  it("refuses to start on a damaged record, and says which", async () => {
    const name = "e3";
    await cluster.kill(name);
    const [first = ""] = segmentsOf(name);
    const content = readFileSync(first);
    const position = 40;
    content.writeUInt8(content.readUInt8(position) ^ 0xff, position);
    writeFileSync(first, content);
    cluster.startDaemon(name);
    expect(await cluster.exitCode(name)).toBe(1);
    expect(cluster.log(name)).toMatch(/"log-\d+" is damaged at byte \d+/);
    expect(cluster.log(name)).toMatch(/Remedy: /);
    const version = await change("e1");
    await replaceReplica(name, "e1");
    expect(await change(name)).toBeGreaterThan(version);
  });
});
