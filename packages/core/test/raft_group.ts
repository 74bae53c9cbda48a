/**
 * A group of replicas that exchange messages without delay and, by default, without loss.
 *
 * @module
 */
import {
  bootstrapState,
  emptyStoredState,
  type LogEntry,
  type Member,
  type MembershipChange,
  Raft,
  type RaftMessage,
  type RaftOutput,
  type RaftTuning,
  type StoredState,
  textOf,
} from "@quetzalcove/core";

/** One replica with its stored state, the commands that it applied and the results of its reads. */
export interface Node {
  raft: Raft;
  stored: StoredState;
  applied: string[];
  reads: { context: string; index: number }[];
  lostReads: string[];
}

export function memberNamed(entry: string): Omit<Member, "standing"> {
  return {
    replica: `${entry}#0001`,
    entry,
    zone: `zone-${entry}`,
    address: "127.0.0.1:7000",
  };
}

export function idOf(entry: string): string {
  return memberNamed(entry).replica;
}

/** Stores the write of an output as a driver has to. */
export function store(stored: StoredState, { write }: RaftOutput): void {
  if (write.installed !== undefined) {
    const { data, ...metadata } = write.installed;
    stored.snapshot = { ...metadata, data: textOf(data) };
    stored.entries = [];
  }
  if (write.hardState !== undefined) {
    stored.hardState = write.hardState;
  }
  const first = write.entries[0]?.index;
  if (first !== undefined) {
    stored.entries = stored.entries.filter((entry) => entry.index < first);
    stored.entries.push(...write.entries);
  }
}

export class Group {
  now = 0;
  readonly nodes = new Map<string, Node>();
  /** Whether a message is lost. */
  isLost: (message: RaftMessage) => boolean = () => false;
  readonly sent: RaftMessage[] = [];
  /** Source of random time-outs; undefined for fixed ones. */
  random: (() => number) | undefined;
  /** Time that each message takes, in milliseconds. */
  delayMs = 0;
  #delayed: { at: number; message: RaftMessage }[] = [];
  readonly #tuning: Partial<RaftTuning>;

  constructor(first: string, tuning: Partial<RaftTuning> = {}) {
    this.#tuning = tuning;
    this.start(first, bootstrapState(memberNamed(first)));
  }

  /** A group whose first replica leads and whose other replicas are voters. */
  static of(entries: string[], tuning: Partial<RaftTuning> = {}): Group {
    const [first = "", ...others] = entries;
    const group = new Group(first, tuning);
    group.advance(10);
    for (const entry of others) {
      group.start(entry, emptyStoredState());
      group.change(first, { kind: "add", member: memberNamed(entry) });
      group.change(first, { kind: "promote", replica: idOf(entry) });
    }
    return group;
  }

  /** Starts a replica; its process started at `processStart`. */
  start(
    entry: string,
    stored: StoredState,
    processStart: number = this.now,
  ): void {
    const replica = idOf(entry);
    // Later replicas time out first, so that votes are not split and the most complete log does not win by chance.
    const known = [...this.nodes.keys()].indexOf(entry);
    const position = known === -1 ? this.nodes.size : known;
    const timeoutFraction = 1 / (2 + position);
    const raft = new Raft(
      {
        replica,
        stored,
        random: () => this.random?.() ?? timeoutFraction,
        tuning: this.#tuning,
        processStart,
      },
      this.now,
    );
    this.nodes.set(entry, {
      raft,
      stored,
      applied: [],
      reads: [],
      lostReads: [],
    });
  }

  node(entry: string): Node {
    return this.nodes.get(entry)!;
  }

  /** Starts a replica again from what it stored; it took `bootMs` to read that. */
  restart(entry: string, bootMs = 0): void {
    const { stored } = this.node(entry);
    this.start(entry, structuredClone(stored), this.now - bootMs);
  }

  change(entry: string, change: MembershipChange): void {
    this.node(entry).raft.changeMembership(change, this.now).unwrap();
    this.settle();
  }

  propose(entry: string, ...commands: string[]): void {
    this.node(entry).raft.propose(commands, this.now).unwrap();
    this.settle();
  }

  /** Advances the time in steps of 10 ms. */
  advance(ms: number): void {
    const end = this.now + ms;
    while (this.now < end) {
      this.now += 10;
      this.#deliverDelayed();
      this.nodes.forEach(({ raft }) => raft.tick(this.now));
      this.settle();
    }
  }

  /** Processes outputs and delivers messages until none is left. */
  settle(): void {
    let isBusy = true;
    while (isBusy) {
      isBusy = false;
      for (const node of this.nodes.values()) {
        isBusy = this.#processOutput(node) || isBusy;
      }
    }
  }

  get leaders(): string[] {
    return [...this.nodes].filter(([, { raft }]) =>
      raft.status.role === "leader"
    ).map(([entry]) => entry);
  }

  #processOutput(node: Node): boolean {
    if (!node.raft.hasOutput) {
      return false;
    }
    const output = node.raft.takeOutput();
    store(node.stored, output);
    node.raft.reportSynced(output.id, this.now);
    this.#apply(node, output);
    [...output.messages, ...output.messagesAfterSync].forEach((m) =>
      this.#deliver(m)
    );
    return true;
  }

  #apply(node: Node, { write, committed, reads, lostReads }: RaftOutput): void {
    if (write.installed !== undefined) {
      node.applied = JSON.parse(textOf(write.installed.data));
    }
    const isCommand = (entry: LogEntry) => entry.kind === "command";
    node.applied.push(...committed.filter(isCommand).map((e) => e.data));
    node.reads.push(...reads);
    node.lostReads.push(...lostReads);
  }

  #deliverDelayed(): void {
    const due = this.#delayed.filter(({ at }) => at <= this.now);
    this.#delayed = this.#delayed.filter(({ at }) => at > this.now);
    due.forEach(({ message }) => this.#receive(message));
  }

  #deliver(message: RaftMessage): void {
    this.sent.push(message);
    if (this.isLost(message)) {
      return;
    }
    if (this.delayMs > 0) {
      this.#delayed.push({ at: this.now + this.delayMs, message });
    } else {
      this.#receive(message);
    }
  }

  #receive(message: RaftMessage): void {
    for (const { raft } of this.nodes.values()) {
      if (raft.status.replica === message.to) {
        const copy = JSON.parse(JSON.stringify(message));
        raft.receive(copy, this.now);
      }
    }
  }
}
