/**
 * The stored state of one replica: a segmented log, hard state and snapshots. Writes that wait at the same time share
 * one sync (group commit).
 *
 * @module
 */
import {
  Err,
  type Fault,
  fault,
  type RaftWrite,
  type Result,
  type Snapshot,
} from "@quetzalcove/core";
import { attempt } from "./files.ts";
import type { FolderLock } from "./lock.ts";
import type { LogWriter } from "./log_writer.ts";
import { removeSnapshotsBefore, writeSnapshot } from "./snapshot_file.ts";

interface Job {
  /** Writes of the log, or a task that must run between writes. */
  write?: RaftWrite;
  task?: () => Promise<void>;
  done: (result: Result<void, Fault>) => void;
}

/** Most writes that share one sync; bounds the time spent on encoding them. */
const MAX_GROUP = 512;

/** The open data folder of one replica. After a failed write it refuses all further ones. */
export class Storage {
  readonly #folder: string;
  readonly #lock: FolderLock;
  readonly #writer: LogWriter;
  #queue: Job[] = [];
  #running: Promise<void> | undefined;
  #failure: Fault | undefined;
  #closed = false;

  constructor(folder: string, lock: FolderLock, writer: LogWriter) {
    this.#folder = folder;
    this.#lock = lock;
    this.#writer = writer;
  }

  /** Number of syncs of the log so far. */
  get syncs(): number {
    return this.#writer.syncs;
  }

  /** Stores a write; it and all writes before it are synced when the promise resolves. */
  save(write: RaftWrite): Promise<Result<void, Fault>> {
    if (write.installed === undefined) {
      return this.#enqueue({ write });
    }
    return this.#enqueue({ task: () => this.#install(write) });
  }

  /** Stores a snapshot of the own state machine, beside the writes, and drops the log that it covers. */
  async compact(snapshot: Snapshot): Promise<Result<void, Fault>> {
    const written = await attempt(
      "Writing a snapshot",
      () => writeSnapshot(this.#folder, snapshot),
    );
    return written.err ? written : this.#enqueue({
      task: async () => {
        await this.#writer.rotate();
        await this.#writer.removeCovered(snapshot.index);
        await removeSnapshotsBefore(this.#folder, snapshot.index);
      },
    });
  }

  /** Waits for the writes under way and gives the folder back. */
  async close(): Promise<void> {
    this.#closed = true;
    await this.#running;
    await this.#writer.close();
    await this.#lock.release();
  }

  /** Replaces snapshot and log by a snapshot of the leader. */
  async #install({ installed, hardState, entries }: RaftWrite): Promise<void> {
    const { index, term } = installed!;
    await writeSnapshot(this.#folder, installed!);
    await this.#writer.reset({ index, term }, { hardState, entries });
    await removeSnapshotsBefore(this.#folder, index);
  }

  #enqueue(job: Omit<Job, "done">): Promise<Result<void, Fault>> {
    if (this.#closed) {
      const closed = fault("stopping", "The data folder is closed");
      return Promise.resolve(Err(closed));
    }
    return new Promise((done) => {
      this.#queue.push({ ...job, done });
      this.#running ??= this.#run();
    });
  }

  async #run(): Promise<void> {
    while (this.#queue.length > 0) {
      const group = this.#nextGroup();
      const result = await this.#perform(group);
      group.forEach(({ done }) => done(result));
    }
    this.#running = undefined;
  }

  /** Takes the first task, or all writes before the next task. */
  #nextGroup(): Job[] {
    const task = this.#queue.findIndex((job) => job.task !== undefined);
    const writes = task === -1 ? this.#queue.length : task;
    const size = Math.max(1, Math.min(writes, MAX_GROUP));
    return this.#queue.splice(0, size);
  }

  async #perform(group: readonly Job[]): Promise<Result<void, Fault>> {
    if (this.#failure !== undefined) {
      return Err(this.#failure);
    }
    const result = await attempt("Writing the log", async () => {
      const task = group[0]?.task;
      const writes = group.flatMap(({ write }) => write ?? []);
      await (task === undefined ? this.#writer.append(writes) : task());
    });
    if (result.err) {
      this.#failure = result.val;
    }
    return result.map(() => undefined);
  }
}
