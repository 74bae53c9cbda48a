/**
 * Runs one Raft replica on its data folder, with a map of strings as its state machine.
 *
 * @module
 */
import {
  type LogEntry,
  Raft,
  RaftMessage,
  type RaftOutput,
  type RaftWrite,
  type Snapshot,
  textOf,
} from "@quetzalcove/core";
import {
  type OpenedStorage,
  openStorage,
  type Storage,
} from "@quetzalcove/daemon";

/** Configuration and transport that the hosts of one Raft group share. */
export interface RaftGroup {
  clock: () => number;
  random: () => number;
  /** Whether queued writes share one sync; otherwise each output is stored separately. */
  groupCommit: boolean;
  /** Number of log entries at which a host compacts its log. */
  maxLogEntries: number;
  send: (to: string, text: string) => void;
}

interface PendingProposal {
  term: number;
  settle: () => void;
}

const TICK_MS = 25;

export class Host {
  readonly #group: RaftGroup;
  readonly #raft: Raft;
  readonly #storage: Storage;
  readonly #state = new Map<string, string>();
  readonly #pendingProposals = new Map<number, PendingProposal>();
  readonly #timer: NodeJS.Timeout;
  readonly #listeners: (() => void)[] = [];
  #lastSave: Promise<unknown> = Promise.resolve();
  #isProcessingScheduled = false;
  #stopped = false;

  constructor(group: RaftGroup, { format, stored, storage }: OpenedStorage) {
    const { replica } = format;
    const { random, maxLogEntries } = group;
    const tuning = { maxLogEntries, heartbeatMs: 100, electionMs: 2_000 };
    this.#group = group;
    this.#storage = storage;
    this.#raft = new Raft({ replica, stored, random, tuning }, group.clock());
    this.#restore(stored.snapshot);
    this.#timer = setInterval(() => {
      this.#raft.tick(group.clock());
      this.#scheduleProcessing();
    }, TICK_MS);
  }

  static async open(group: RaftGroup, folder: string): Promise<Host> {
    return new Host(group, (await openStorage(folder)).unwrap());
  }

  get raft(): Raft {
    return this.#raft;
  }

  get syncs(): number {
    return this.#storage.syncs;
  }

  /** Proposes a command; resolves when it is committed and applied on this host. */
  propose(key: string, value: string): Promise<void> {
    const command = JSON.stringify([key, value]);
    const { first, term } = this.#raft.propose([command], this.#group.clock())
      .unwrap();
    const settled = new Promise<void>((settle) => {
      this.#pendingProposals.set(first, { term, settle });
    });
    this.#advance();
    return settled;
  }

  receive(text: string): void {
    if (!this.#stopped) {
      const message = RaftMessage.parse(JSON.parse(text));
      this.#raft.receive(message, this.#group.clock());
      this.#advance();
    }
  }

  /** Resolves once a condition holds; it is checked whenever outputs have been processed. */
  waitFor(condition: () => boolean): Promise<void> {
    if (condition()) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.#listeners.push(() => {
        if (condition()) {
          resolve();
        }
      });
    });
  }

  /** Compacts the log at the applied index. */
  async compact(): Promise<void> {
    const data = JSON.stringify([...this.#state]);
    const { applied } = this.#raft.status;
    const snapshot = this.#raft.compact(applied, data).unwrap();
    (await this.#storage.compact(snapshot, [data])).unwrap();
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    clearInterval(this.#timer);
    await this.#lastSave;
    await this.#storage.close();
  }

  /** Processes outputs. With group commit, all events of one event-loop iteration share one output. */
  #advance(): void {
    if (this.#group.groupCommit) {
      this.#scheduleProcessing();
    } else {
      this.#processOutputs();
    }
  }

  #scheduleProcessing(): void {
    if (!this.#isProcessingScheduled) {
      this.#isProcessingScheduled = true;
      setImmediate(() => {
        this.#isProcessingScheduled = false;
        this.#processOutputs();
      });
    }
  }

  #processOutputs(): void {
    while (!this.#stopped && this.#raft.hasOutput) {
      this.#processOutput(this.#raft.takeOutput());
    }
    this.#listeners.forEach((listener) => listener());
    if (this.#raft.compactionDue && !this.#stopped) {
      this.#lastSave = this.compact();
    }
  }

  #processOutput(output: RaftOutput): void {
    this.#send(output.messages);
    void this.#saveAndReport(output);
    this.#restore(output.write.installed);
    output.committed.forEach((entry) => this.#apply(entry));
  }

  async #saveAndReport(output: RaftOutput): Promise<void> {
    (await this.#save(output.write)).unwrap();
    if (!this.#stopped) {
      this.#send(output.messagesAfterSync);
      this.#raft.reportSynced(output.id, this.#group.clock());
      this.#scheduleProcessing();
    }
  }

  #save(write: RaftWrite): ReturnType<Storage["save"]> {
    if (this.#group.groupCommit) {
      return this.#storage.save(write);
    }
    const saved = this.#lastSave.then(() => this.#storage.save(write));
    this.#lastSave = saved;
    return saved;
  }

  #send(messages: readonly RaftMessage[]): void {
    for (const message of messages) {
      this.#group.send(message.to, JSON.stringify(message));
    }
  }

  #restore(snapshot: Snapshot | undefined): void {
    if (snapshot !== undefined) {
      this.#state.clear();
      const pairs = JSON.parse(textOf(snapshot.data)) as [string, string][];
      pairs.forEach(([key, value]) => this.#state.set(key, value));
    }
  }

  #apply(entry: LogEntry): void {
    if (entry.kind === "command") {
      const [key, value] = JSON.parse(entry.data) as [string, string];
      this.#state.set(key, value);
    }
    const proposal = this.#pendingProposals.get(entry.index);
    this.#pendingProposals.delete(entry.index);
    if (proposal?.term === entry.term) {
      proposal.settle();
    }
  }
}
