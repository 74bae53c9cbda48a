import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  bootstrapState,
  type Fault,
  Ok,
  type RaftWrite,
  type Result,
} from "@quetzalcove/core";
import { RaftDriver } from "../src/consensus/raft_driver.ts";
import { Metrics } from "../src/observe/metrics.ts";
import type { Storage } from "../src/storage/storage.ts";
import { ignore, QUIET_LOG, TEST_CLOCK } from "./scheduler_fixture.ts";

const MEMBER = {
  replica: "e1#0001",
  entry: "e1",
  zone: "zone-a",
  address: "127.0.0.1:7000",
};

/** Storage whose writes end when the test calls `finishWrites`. */
class ControlledStorage {
  readonly writes: RaftWrite[] = [];
  #pending: (() => void)[] = [];

  readonly storage = {
    save: (write: RaftWrite): Promise<Result<void, Fault>> => {
      if (write.entries.length === 0) {
        return Promise.resolve(Ok.EMPTY);
      }
      this.writes.push(write);
      return new Promise((resolve) => {
        this.#pending.push(() => resolve(Ok.EMPTY));
      });
    },
    close: () => Promise.resolve(),
  } as unknown as Storage;

  /** Commands of each write. */
  get commands(): string[][] {
    return this.writes.map(({ entries }) =>
      entries.flatMap((entry) => entry.kind === "command" ? entry.data : [])
    ).filter((commands) => commands.length > 0);
  }

  async finishWrites(): Promise<void> {
    this.#pending.splice(0).forEach((finish) => finish());
    await vi.advanceTimersByTimeAsync(1);
  }
}

describe("commands that are proposed during a log write", () => {
  let storage: ControlledStorage;
  let driver: RaftDriver<string[], string, number>;
  let results: unknown[];

  const propose = (command: string): void => {
    void driver.propose(command).then(({ val }) => results.push(val));
  };

  beforeEach(async () => {
    vi.useFakeTimers();
    storage = new ControlledStorage();
    results = [];
    driver = new RaftDriver<string[], string, number>({
      settings: {
        entry: "e1",
        zone: "zone-a",
        listen: { link: MEMBER.address },
        link: { maxMessageBytes: 65_536 },
        raft: {
          heartbeatMs: 100,
          electionMinMs: 500,
          snapshotEveryEntries: 1_000,
        },
      },
      stateMachine: {
        empty: () => [],
        apply: (state, command) => Ok(state.push(command)),
        encode: (state) => [JSON.stringify(state)],
        decode: (lines) => JSON.parse([...lines].join("")) as string[],
      },
      replica: MEMBER.replica,
      stored: bootstrapState(MEMBER),
      storage: storage.storage,
      clock: TEST_CLOCK,
      random: () => 0,
      log: QUIET_LOG,
      metrics: new Metrics(),
      send: ignore,
      onStorageFailure: ignore,
    });
    await driver.start();
    await vi.advanceTimersByTimeAsync(600);
    await storage.finishWrites();
  });

  afterEach(async () => {
    await driver.stop();
    vi.useRealTimers();
  });

  // Guards against a log entry round to all followers for each command of a busy leader.
  it("share the next write", async () => {
    propose("a");
    await vi.advanceTimersByTimeAsync(1);
    propose("b");
    await vi.advanceTimersByTimeAsync(1);
    propose("c");
    await storage.finishWrites();
    await storage.finishWrites();
    expect(storage.commands).toEqual([['"a"'], ['"b"', '"c"']]);
    expect(results).toEqual([1, 2, 3]);
  });

  it("are proposed all the same if the disk stalls, since the other replicas may commit them", async () => {
    propose("a");
    await vi.advanceTimersByTimeAsync(1);
    propose("b");
    await vi.advanceTimersByTimeAsync(20);
    expect(storage.commands).toEqual([['"a"'], ['"b"']]);
  });

  it("have not run if the replica stops", async () => {
    propose("a");
    await vi.advanceTimersByTimeAsync(1);
    propose("b");
    await driver.stop();
    await vi.advanceTimersByTimeAsync(1);
    expect(results).toContainEqual(
      expect.objectContaining({ kind: "no_leader", outcome: "not run" }),
    );
  });

  // Guards against a log entry that fits into no message, which is sent again for ever and keeps all later ones waiting.
  it("have not run if no link carries them", async () => {
    propose("x".repeat(65_536));
    // Quotes take four bytes each in a message: the command is JSON, and an entry holds it as a string.
    propose('"'.repeat(20_000));
    propose("a");
    await vi.advanceTimersByTimeAsync(1);
    await storage.finishWrites();
    const refusal = { kind: "too_large", outcome: "not run" };
    expect(results).toEqual([
      expect.objectContaining(refusal),
      expect.objectContaining(refusal),
      1,
    ]);
  });
});
