/**
 * The stored state of one replica: a segmented log, hard state and snapshots. Writes that are queued at the same time
 * share one sync (group commit).
 *
 * @module
 */
import {
  Err,
  type Fault,
  fault,
  partsOf,
  type RaftWrite,
  type Result,
  type SnapshotMetadata,
} from "@quetzalcove/core";
import { catchStorageFault } from "./files.ts";
import type { FolderLock } from "./lock.ts";
import type { LogWriter } from "./log_writer.ts";
import {
  removeSnapshotsBefore,
  type SnapshotFile,
  writeSnapshot,
} from "./snapshot_file.ts";

interface QueuedOperation {
  /** A write to the log, or an operation that must run alone, between writes. */
  write?: RaftWrite;
  exclusive?: () => Promise<void>;
  done: (result: Result<void, Fault>) => void;
}

/** Maximum number of writes that share one sync; bounds the time to encode them. */
const MAX_BATCH_WRITES = 512;

/** The open data folder of one replica. After a failed write, all further writes fail with the same fault. */
export class Storage {
  readonly #folder: string;
  readonly #lock: FolderLock;
  readonly #writer: LogWriter;
  #queue: QueuedOperation[] = [];
  #processing: Promise<void> | undefined;
  #failure: Fault | undefined;
  /** Snapshots that are read, oldest first. */
  #snapshotFiles: SnapshotFile[] = [];
  #closed = false;

  /** `snapshotFile` is that of the newest snapshot. */
  constructor(
    folder: string,
    lock: FolderLock,
    writer: LogWriter,
    snapshotFile?: SnapshotFile,
  ) {
    this.#snapshotFiles = snapshotFile === undefined ? [] : [snapshotFile];
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
    return this.#enqueue({ exclusive: () => this.#install(write) });
  }

  /** The newest snapshot's data in its file; undefined if none was written by this process. */
  get snapshotFile(): SnapshotFile | undefined {
    return this.#snapshotFiles.at(-1);
  }

  /**
   * Stores a snapshot of the local state machine, concurrently with writes, and deletes the log that it covers. `parts`
   * make up its data. `oldestInUse` tells, when it is stored, which earlier snapshots are still read.
   */
  async compact(
    metadata: SnapshotMetadata,
    parts: Iterable<string>,
    oldestInUse: () => number = () => metadata.index,
  ): Promise<Result<SnapshotFile, Fault>> {
    const written = await catchStorageFault(
      "Writing a snapshot",
      () => writeSnapshot(this.#folder, metadata, parts),
    );
    if (written.err) {
      return written;
    }
    const stored = await this.#enqueue({
      exclusive: async () => {
        await this.#writer.rotate();
        await this.#writer.removeCovered(metadata.index);
        await this.#adoptSnapshot(written.val, oldestInUse());
      },
    });
    return stored.map(() => written.val);
  }

  /** Waits for queued writes and releases the folder. */
  async close(): Promise<void> {
    this.#closed = true;
    await this.#processing;
    await this.#writer.close();
    this.#snapshotFiles.forEach((file) => file.close());
    await this.#lock.release();
  }

  /** Replaces snapshot and log with a snapshot of the leader. */
  async #install({ installed, hardState, entries }: RaftWrite): Promise<void> {
    const { index, term, data } = installed!;
    const file = await writeSnapshot(this.#folder, installed!, partsOf(data));
    await this.#writer.reset({ index, term }, { hardState, entries });
    await this.#adoptSnapshot(file, index);
  }

  /** Keeps a new snapshot and those that are still read, and removes all others. */
  async #adoptSnapshot(
    file: SnapshotFile,
    oldestInUse: number,
  ): Promise<void> {
    const keptFrom = Math.min(file.index, oldestInUse);
    this.#snapshotFiles.push(file);
    this.#snapshotFiles.sort((a, b) => a.index - b.index);
    this.#snapshotFiles = this.#snapshotFiles.filter((each) => {
      const isKept = each.index >= keptFrom;
      if (!isKept) {
        each.close();
      }
      return isKept;
    });
    await removeSnapshotsBefore(this.#folder, keptFrom);
  }

  #enqueue(
    operation: Omit<QueuedOperation, "done">,
  ): Promise<Result<void, Fault>> {
    if (this.#closed) {
      const closed = fault("stopping", "The data folder is closed");
      return Promise.resolve(Err(closed));
    }
    return new Promise((done) => {
      this.#queue.push({ ...operation, done });
      this.#processing ??= this.#processQueue();
    });
  }

  async #processQueue(): Promise<void> {
    while (this.#queue.length > 0) {
      const batch = this.#nextBatch();
      const result = await this.#execute(batch);
      batch.forEach(({ done }) => done(result));
    }
    this.#processing = undefined;
  }

  /** Removes the next batch from the queue: one exclusive operation, or the writes before the next one. */
  #nextBatch(): QueuedOperation[] {
    const firstExclusive = this.#queue.findIndex((operation) =>
      operation.exclusive !== undefined
    );
    const writes = firstExclusive === -1 ? this.#queue.length : firstExclusive;
    const size = Math.max(1, Math.min(writes, MAX_BATCH_WRITES));
    return this.#queue.splice(0, size);
  }

  async #execute(
    batch: readonly QueuedOperation[],
  ): Promise<Result<void, Fault>> {
    if (this.#failure !== undefined) {
      return Err(this.#failure);
    }
    const result = await catchStorageFault("Writing the log", async () => {
      const exclusive = batch[0]?.exclusive;
      const writes = batch.flatMap(({ write }) => write ?? []);
      await (exclusive === undefined
        ? this.#writer.append(writes)
        : exclusive());
    });
    if (result.err) {
      this.#failure = result.val;
    }
    return result.map(() => undefined);
  }
}
