/**
 * Drives one Raft replica on its data folder, with a map of strings as its state machine.
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
} from "@quetzalcove/core";
import {
  type OpenedStorage,
  openStorage,
  type Storage,
} from "@quetzalcove/daemon";

/** What the hosts of one group share. */
export interface Group {
  clock: () => number;
  random: () => number;
  /** Writes that wait together share one sync; without it each output is stored alone. */
  groupCommit: boolean;
  /** Log entries at which a host compacts. */
  maxLogEntries: number;
  send: (to: string, text: string) => void;
}

interface Waiter {
  term: number;
  settle: () => void;
}

const TICK_MS = 25;

export class Host {
  readonly #group: Group;
  readonly #raft: Raft;
  readonly #storage: Storage;
  readonly #state = new Map<string, string>();
  readonly #waiters = new Map<number, Waiter>();
  readonly #timer: NodeJS.Timeout;
  readonly #listeners: (() => void)[] = [];
  #saving: Promise<unknown> = Promise.resolve();
  #pumpDue = false;
  #stopped = false;

  constructor(group: Group, { format, stored, storage }: OpenedStorage) {
    const { replica } = format;
    const { random, maxLogEntries } = group;
    const tuning = { maxLogEntries, heartbeatMs: 100, electionMs: 2_000 };
    this.#group = group;
    this.#storage = storage;
    this.#raft = new Raft({ replica, stored, random, tuning }, group.clock());
    this.#restore(stored.snapshot);
    this.#timer = setInterval(() => {
      this.#raft.tick(group.clock());
      this.#schedule();
    }, TICK_MS);
  }

  static async open(group: Group, folder: string): Promise<Host> {
    return new Host(group, (await openStorage(folder)).unwrap());
  }

  get raft(): Raft {
    return this.#raft;
  }

  get syncs(): number {
    return this.#storage.syncs;
  }

  /** Resolves when the command is committed and applied here. */
  propose(key: string, value: string): Promise<void> {
    const command = JSON.stringify([key, value]);
    const { first, term } = this.#raft.propose([command], this.#group.clock())
      .unwrap();
    const settled = new Promise<void>((settle) => {
      this.#waiters.set(first, { term, settle });
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

  /** Resolves once a condition holds, checked after each step. */
  until(holds: () => boolean): Promise<void> {
    if (holds()) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.#listeners.push(() => {
        if (holds()) {
          resolve();
        }
      });
    });
  }

  /** Compacts the log at the applied index. */
  async compact(): Promise<void> {
    const data = JSON.stringify([...this.#state]);
    const snapshot = this.#raft.compact(this.#raft.status.applied, data);
    (await this.#storage.compact(snapshot.unwrap())).unwrap();
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    clearInterval(this.#timer);
    await this.#saving;
    await this.#storage.close();
  }

  /** With group commit, the events of one turn of the event loop share one output. */
  #advance(): void {
    if (this.#group.groupCommit) {
      this.#schedule();
    } else {
      this.#pump();
    }
  }

  #schedule(): void {
    if (!this.#pumpDue) {
      this.#pumpDue = true;
      setImmediate(() => {
        this.#pumpDue = false;
        this.#pump();
      });
    }
  }

  #pump(): void {
    while (!this.#stopped && this.#raft.hasOutput) {
      this.#perform(this.#raft.takeOutput());
    }
    this.#listeners.forEach((listener) => listener());
    if (this.#raft.compactionDue && !this.#stopped) {
      this.#saving = this.compact();
    }
  }

  #perform(output: RaftOutput): void {
    this.#send(output.messages);
    void this.#store(output);
    this.#restore(output.write.installed);
    output.committed.forEach((entry) => this.#apply(entry));
  }

  async #store(output: RaftOutput): Promise<void> {
    (await this.#save(output.write)).unwrap();
    if (!this.#stopped) {
      this.#send(output.messagesAfterSync);
      this.#raft.reportSynced(output.id, this.#group.clock());
      this.#schedule();
    }
  }

  #save(write: RaftWrite): ReturnType<Storage["save"]> {
    if (this.#group.groupCommit) {
      return this.#storage.save(write);
    }
    const saved = this.#saving.then(() => this.#storage.save(write));
    this.#saving = saved;
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
      const pairs = JSON.parse(snapshot.data) as [string, string][];
      pairs.forEach(([key, value]) => this.#state.set(key, value));
    }
  }

  #apply(entry: LogEntry): void {
    if (entry.kind === "command") {
      const [key, value] = JSON.parse(entry.data) as [string, string];
      this.#state.set(key, value);
    }
    const waiter = this.#waiters.get(entry.index);
    this.#waiters.delete(entry.index);
    if (waiter?.term === entry.term) {
      waiter.settle();
    }
  }
}
