import {
  cpSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  truncateSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import {
  type Fault,
  linesOf,
  type LogEntry,
  type RaftWrite,
  type Result,
  type Snapshot,
  type SnapshotText,
  textOf,
} from "@quetzalcove/core";
import {
  formatFolder,
  type OpenedStorage,
  openStorage,
  readFormat,
} from "@quetzalcove/daemon";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { encodeFrame } from "../src/storage/frame.ts";

let root: string;
let folder: string;
let opened: OpenedStorage[];

beforeEach(async () => {
  root = mkdtempSync(join(tmpdir(), "storage-"));
  folder = join(root, "data");
  opened = [];
  const stored = { hardState: { term: 0 }, entries: [] };
  const formatting = { cluster: "c1", replica: "e1#0001", stored };
  (await formatFolder(folder, formatting)).unwrap();
});

afterEach(async () => {
  await Promise.all(opened.map(({ storage }) => storage.close()));
  rmSync(root, { recursive: true });
});

async function open(path = folder): Promise<OpenedStorage> {
  const result = (await openStorage(path)).unwrap();
  opened.push(result);
  return result;
}

async function reopen(): Promise<OpenedStorage> {
  await Promise.all(opened.map(({ storage }) => storage.close()));
  opened = [];
  return open();
}

/** Returns a copy of the folder as a crash would leave it now. */
function crashCopy(name: string): string {
  const copy = join(root, name);
  cpSync(folder, copy, { recursive: true });
  rmSync(join(copy, "lock"), { force: true });
  return copy;
}

function command(index: number, term: number, data = `d${index}`): LogEntry {
  return { kind: "command", index, term, data };
}

function commands(from: number, to: number, term = 1): LogEntry[] {
  const length = to - from + 1;
  return Array.from({ length }, (_, i) => command(from + i, term));
}

function write(entries: LogEntry[], term = 1): RaftWrite {
  return { hardState: { term, vote: "e1#0001" }, entries };
}

function snapshotAt(index: number, term = 1): Snapshot {
  return { index, term, membership: { members: [] }, data: `"at ${index}"` };
}

/** A snapshot with its data in memory. */
function loaded(snapshot: Snapshot | undefined): Snapshot | undefined {
  return snapshot && { ...snapshot, data: textOf(snapshot.data) };
}

function compact(
  storage: OpenedStorage["storage"],
  { data, ...metadata }: Snapshot,
): Promise<Result<SnapshotText, Fault>> {
  return storage.compact(metadata, [textOf(data)]);
}

function files(prefix: string, path = folder): string[] {
  return readdirSync(path).filter((name) => name.startsWith(prefix)).sort();
}

describe("a data folder", () => {
  test("cannot be formatted twice", async () => {
    const stored = { hardState: { term: 0 }, entries: [] };
    const again = { cluster: "c2", replica: "e1#0002", stored };
    const result = await formatFolder(folder, again);
    expect(result.val).toMatchObject({ kind: "conflict" });
    expect((await readFormat(folder)).unwrap()).toEqual({
      version: 1,
      cluster: "c1",
      replica: "e1#0001",
    });
  });

  test("cannot be opened before it is formatted", async () => {
    expect((await openStorage(root)).val).toMatchObject({
      kind: "storage",
      message: `Data folder "${root}" is not formatted`,
    });
  });

  test("cannot be opened twice", async () => {
    await open();
    expect((await openStorage(folder)).val).toMatchObject({
      kind: "storage",
      message: `Data folder "${folder}" is in use by process ${process.pid}`,
    });
  });

  test.each([
    ["of an ended process", { pid: 4_194_305, started: "1" }],
    ["of an earlier process with the same id", {
      pid: process.pid,
      started: "1",
    }],
  ])("replaces the stale lock %s", async (_, holder) => {
    const lock = JSON.stringify({ ...holder, nonce: "stale" });
    writeFileSync(join(folder, "lock"), lock);
    expect((await openStorage(folder)).map((result) => opened.push(result)).ok)
      .toBe(true);
  });
});

describe("the log", () => {
  test("returns saved entries and hard state after reopening", async () => {
    const { storage } = await open();
    await storage.save(write(commands(1, 3)));
    await storage.save(write(commands(4, 5, 2), 2));
    expect((await reopen()).stored).toEqual({
      hardState: { term: 2, vote: "e1#0001" },
      snapshot: undefined,
      entries: [...commands(1, 3), ...commands(4, 5, 2)],
    });
  });

  test("replaces entries from the first index of a write on", async () => {
    const { storage } = await open();
    await storage.save(write(commands(1, 9)));
    await storage.save(write([command(4, 2, "new")], 2));
    expect((await reopen()).stored.entries).toEqual([
      ...commands(1, 3),
      command(4, 2, "new"),
    ]);
  });

  test("syncs queued writes together", async () => {
    const { storage } = await open();
    const order: number[] = [];
    await Promise.all(
      commands(1, 100).map(async (entry) => {
        (await storage.save(write([entry]))).unwrap();
        order.push(entry.index);
      }),
    );
    expect(order).toEqual(commands(1, 100).map(({ index }) => index));
    expect(storage.syncs).toBe(2);
    expect((await reopen()).stored.entries).toEqual(commands(1, 100));
  });

  test("truncates a last frame that is torn at any byte", async () => {
    const { storage } = await open();
    const [name = ""] = files("log-");
    await storage.save(write(commands(1, 2)));
    const synced = readFileSync(join(folder, name)).length;
    await storage.save(write(commands(3, 3)));
    const whole = readFileSync(join(folder, name)).length;
    for (let bytes = synced; bytes < whole; bytes++) {
      const copy = crashCopy(`torn-${bytes}`);
      truncateSync(join(copy, name), bytes);
      const torn = await open(copy);
      expect(torn.stored.entries).toEqual(commands(1, 2));
      await torn.storage.save(write([command(3, 2, "again")], 2));
      await torn.storage.close();
      const again = await open(copy);
      expect(again.stored.entries.at(-1)).toEqual(command(3, 2, "again"));
      await again.storage.close();
      rmSync(copy, { recursive: true });
    }
  });

  test("is refused if any byte before the last frame has a flipped bit", async () => {
    const { storage } = await open();
    const [name = ""] = files("log-");
    await storage.save(write(commands(1, 1)));
    const middle = readFileSync(join(folder, name)).length;
    await storage.save(write(commands(2, 2)));
    const copy = crashCopy("flipped");
    const intact = readFileSync(join(copy, name));
    for (let position = 0; position < middle; position++) {
      const flipped = Buffer.from(intact);
      flipped[position]! ^= 1 << (position % 8);
      writeFileSync(join(copy, name), flipped);
      const result = await openStorage(copy);
      expect(result.val).toMatchObject({
        kind: "storage",
        message: expect.stringContaining("is damaged at byte"),
      });
    }
  });

  test("refuses further writes after a failed one", async () => {
    const { storage } = await open();
    rmSync(folder, { recursive: true });
    const failed = await storage.save({
      installed: snapshotAt(5),
      entries: [],
    });
    expect(failed.val).toMatchObject({ kind: "storage" });
    const next = await storage.save(write(commands(1, 1)));
    expect(next.val).toEqual(failed.val);
  });
});

describe("snapshots", () => {
  test("bound the size of the log", async () => {
    const { storage } = await open();
    for (let round = 1; round <= 5; round++) {
      const last = round * 100;
      await storage.save(write(commands(last - 99, last)));
      (await compact(storage, snapshotAt(last - 10))).unwrap();
    }
    expect(files("log-")).toHaveLength(2);
    expect(files("snapshot-")).toHaveLength(1);
    const { stored } = await reopen();
    expect(loaded(stored.snapshot)).toEqual(snapshotAt(490));
    expect(stored.entries).toEqual(commands(491, 500));
  });

  test("keep a segment whose entries a later segment partly replaces", async () => {
    const { storage } = await open();
    await storage.save(write(commands(1, 100)));
    await compact(storage, snapshotAt(50));
    await storage.save(write(commands(95, 120, 2), 2));
    await compact(storage, snapshotAt(110, 2));
    const { stored } = await reopen();
    expect(stored.snapshot?.index).toBe(110);
    expect(stored.entries).toEqual(commands(111, 120, 2));
  });

  test("that were written right before a crash replace the log on the next start", async () => {
    const { storage } = await open();
    await storage.save(write(commands(1, 20)));
    const before = crashCopy("before");
    await compact(storage, snapshotAt(15));
    const [name = ""] = files("snapshot-");
    cpSync(join(folder, name), join(before, name));
    const crashed = await open(before);
    expect(loaded(crashed.stored.snapshot)).toEqual(snapshotAt(15));
    expect(crashed.stored.entries).toEqual(commands(16, 20));
  });

  test.each([
    ["is behind the snapshot", 10, 1],
    ["differs from the snapshot", 50, 2],
  ])("of the leader replace a log that %s", async (_, last, term) => {
    const { storage } = await open();
    await storage.save(write(commands(1, last, term)));
    const before = crashCopy("before");
    const installed = snapshotAt(30, 3);
    await storage.save({ hardState: { term: 3 }, installed, entries: [] });
    const [name = ""] = files("snapshot-");
    cpSync(join(folder, name), join(before, name));
    for (const path of [folder, before]) {
      await Promise.all(opened.map(({ storage }) => storage.close()));
      const first = await open(path);
      expect(loaded(first.stored.snapshot)).toEqual(installed);
      expect(first.stored.entries).toEqual([]);
      await first.storage.save(write(commands(31, 32, 3), 3));
      await first.storage.close();
      const second = await open(path);
      expect(second.stored.entries).toEqual(commands(31, 32, 3));
      await second.storage.close();
    }
  });

  // Guards against replicas that end for lack of memory while a snapshot is written, sent or loaded.
  test("are written and read in parts, whatever characters they have", async () => {
    const { storage } = await open();
    await storage.save(write(commands(1, 20)));
    const line = JSON.stringify("a\u00e4\u0436\u{1f600}".repeat(20_000)) + "\n";
    let written = 0;
    function* parts(): Generator<string> {
      for (; written < 10; written++) {
        yield line;
      }
    }
    const compacting = storage.compact(snapshotAt(20), parts());
    await storage.save(write(commands(21, 21)));
    expect(written).toBeLessThan(10);
    (await compacting).unwrap();
    const { stored } = await reopen();
    const data = stored.snapshot!.data;
    expect(typeof data).not.toBe("string");
    const lines = [...linesOf(data)];
    expect(lines).toHaveLength(10);
    expect(new Set(lines.map((each) => JSON.parse(each)))).toEqual(
      new Set([JSON.parse(line)]),
    );
    expect(data.slice(70_000, 70_100)).toBe(
      textOf(data).slice(70_000, 70_100),
    );
  });

  test("of an earlier version, which stored UTF-8, are read", async () => {
    const { storage } = await open();
    await storage.save(write(commands(1, 20)));
    (await compact(storage, snapshotAt(20))).unwrap();
    await storage.close();
    const [name = ""] = files("snapshot-");
    const { data: _, ...metadata } = snapshotAt(20);
    writeFileSync(
      join(folder, name),
      Buffer.concat(
        [JSON.stringify(metadata), '"\u00e4\u0436"'].map(encodeFrame),
      ),
    );
    const { stored } = (await openStorage(folder)).unwrap();
    expect(loaded(stored.snapshot)?.data).toBe('"\u00e4\u0436"');
  });

  test("stay readable while they are in use", async () => {
    const { storage } = await open();
    await storage.save(write(commands(1, 20)));
    const first = (await compact(storage, snapshotAt(10))).unwrap();
    const { data, ...metadata } = snapshotAt(15);
    (await storage.compact(metadata, [textOf(data)], () => 10)).unwrap();
    expect(textOf(first)).toBe('"at 10"');
    expect(files("snapshot-")).toHaveLength(2);
    (await compact(storage, snapshotAt(18))).unwrap();
    expect(files("snapshot-")).toHaveLength(1);
  });

  test("are refused if corrupt or missing", async () => {
    const { storage } = await open();
    await storage.save(write(commands(1, 20)));
    await compact(storage, snapshotAt(20));
    await storage.close();
    const [name = ""] = files("snapshot-");
    const path = join(folder, name);
    const intact = readFileSync(path);
    const flipped = Buffer.from(intact);
    flipped[intact.length - 1]! ^= 1;
    writeFileSync(path, flipped);
    expect((await openStorage(folder)).val).toMatchObject({ kind: "storage" });
    rmSync(path);
    expect((await openStorage(folder)).val).toMatchObject({
      kind: "storage",
      message: "The log starts after 20, but the snapshot ends at 0",
    });
  });
});
