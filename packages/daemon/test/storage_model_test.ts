import {
  appendFileSync,
  cpSync,
  mkdtempSync,
  readdirSync,
  rmSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import {
  type LogEntry,
  type Snapshot,
  type StoredState,
  textOf,
} from "@quetzalcove/core";
import { formatFolder, openStorage, type Storage } from "@quetzalcove/daemon";
import fc from "fast-check";
import { expect, test } from "vitest";

type Step =
  | { kind: "append"; count: number; back: number }
  | { kind: "compact"; below: number }
  | { kind: "install"; ahead: number }
  | { kind: "reopen" }
  | { kind: "crash"; torn: Uint8Array };

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    arbitrary: fc.record({
      kind: fc.constant("append" as const),
      count: fc.integer({ min: 1, max: 20 }),
      back: fc.nat(8),
    }),
    weight: 6,
  },
  {
    arbitrary: fc.record({
      kind: fc.constant("compact" as const),
      below: fc.nat(10),
    }),
    weight: 3,
  },
  {
    arbitrary: fc.record({
      kind: fc.constant("install" as const),
      ahead: fc.integer({ min: 1, max: 9 }),
    }),
    weight: 1,
  },
  { arbitrary: fc.record({ kind: fc.constant("reopen" as const) }), weight: 2 },
  {
    arbitrary: fc.record({
      kind: fc.constant("crash" as const),
      torn: fc.uint8Array({ maxLength: 40 }),
    }),
    weight: 2,
  },
);

/** Number of runs and seed; set for example `STORAGE_RUNS=500 STORAGE_SEED=1` for a longer test. */
const RUNS = Number(process.env["STORAGE_RUNS"] ?? 40);
const SEED = Number(process.env["STORAGE_SEED"] ?? 7);

/**
 * Regression: compaction deleted the oldest segment although the third one replaces an entry before the base of the
 * second one, which is empty.
 */
const EMPTY_SEGMENT_BEFORE_REPLACEMENT: Step[] = [
  { kind: "append", count: 3, back: 0 },
  { kind: "compact", below: 2 },
  { kind: "compact", below: 1 },
  { kind: "append", count: 2, back: 1 },
  { kind: "compact", below: 1 },
  { kind: "reopen" },
];

/** A data folder and its expected state. */
class Model {
  readonly #root = mkdtempSync(join(tmpdir(), "storage-model-"));
  #folder = join(this.#root, "0");
  #crashes = 0;
  #term = 1;
  #storage!: Storage;
  #expected: StoredState = {
    hardState: { term: 0 },
    snapshot: undefined,
    entries: [],
  };

  async start(): Promise<void> {
    const stored = { hardState: { term: 0 }, entries: [] };
    const formatting = { cluster: "c1", replica: "e1#0001", stored };
    (await formatFolder(this.#folder, formatting)).unwrap();
    await this.#open();
  }

  async stop(): Promise<void> {
    await this.#storage.close();
    rmSync(this.#root, { recursive: true });
  }

  async perform(next: Step): Promise<void> {
    switch (next.kind) {
      case "append":
        return await this.#append(next.count, next.back);
      case "compact":
        return await this.#compact(next.below);
      case "install":
        return await this.#install(next.ahead);
      case "reopen":
        await this.#storage.close();
        return await this.#open();
      case "crash":
        return await this.#crash(next.torn);
    }
  }

  get #base(): number {
    return this.#expected.snapshot?.index ?? 0;
  }

  get #last(): number {
    return this.#base + this.#expected.entries.length;
  }

  async #append(count: number, back: number): Promise<void> {
    this.#term += 1;
    const first = Math.max(this.#base + 1, this.#last + 1 - back);
    const entries = Array.from({ length: count }, (_, i): LogEntry => ({
      kind: "command",
      index: first + i,
      term: this.#term,
      data: "x".repeat(i),
    }));
    const hardState = { term: this.#term };
    (await this.#storage.save({ hardState, entries })).unwrap();
    this.#expected.hardState = hardState;
    this.#expected.entries.length = first - this.#base - 1;
    this.#expected.entries.push(...entries);
  }

  async #compact(below: number): Promise<void> {
    const index = this.#last - below;
    const entry = this.#expected.entries[index - this.#base - 1];
    if (entry !== undefined) {
      const snapshot = snapshotAt(index, entry.term);
      (await this.#storage.compact(snapshot, [textOf(snapshot.data)])).unwrap();
      const { entries } = this.#expected;
      this.#expected.entries = entries.filter((e) => e.index > index);
      this.#expected.snapshot = snapshot;
    }
  }

  async #install(ahead: number): Promise<void> {
    this.#term += 1;
    const installed = snapshotAt(this.#last + ahead, this.#term);
    (await this.#storage.save({ installed, entries: [] })).unwrap();
    this.#expected.snapshot = installed;
    this.#expected.entries = [];
  }

  /** Simulates a crash: opens a copy of the synced files with a torn write appended to the newest segment. */
  async #crash(torn: Uint8Array): Promise<void> {
    this.#crashes += 1;
    const copy = join(this.#root, String(this.#crashes));
    cpSync(this.#folder, copy, { recursive: true });
    rmSync(join(copy, "lock"));
    const segments = readdirSync(copy).filter((n) => n.startsWith("log-"));
    appendFileSync(join(copy, segments.sort().at(-1)!), torn);
    await this.#storage.close();
    this.#folder = copy;
    await this.#open();
  }

  async #open(): Promise<void> {
    const { stored, storage } = (await openStorage(this.#folder)).unwrap();
    this.#storage = storage;
    const { snapshot } = stored;
    expect({
      ...stored,
      ...snapshot && {
        snapshot: { ...snapshot, data: textOf(snapshot.data) },
      },
    }).toEqual(this.#expected);
  }
}

function snapshotAt(index: number, term: number): Snapshot {
  return { index, term, membership: { members: [] }, data: `"${index}"` };
}

test("a data folder recovers everything that was saved, after any sequence of writes and crashes", async () => {
  const property = fc.asyncProperty(
    fc.array(step, { minLength: 5, maxLength: 25, size: "max" }),
    async (steps) => {
      const model = new Model();
      await model.start();
      try {
        for (const next of [...steps, { kind: "reopen" } as const]) {
          await model.perform(next);
        }
      } finally {
        await model.stop();
      }
    },
  );
  const examples: [Step[]][] = [[EMPTY_SEGMENT_BEFORE_REPLACEMENT]];
  await fc.assert(property, { seed: SEED, numRuns: RUNS, examples });
});
