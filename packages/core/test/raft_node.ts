/**
 * One simulated replica: a process that can crash, and a disk that can be lost.
 *
 * @module
 */
import {
  type LogEntry,
  type Membership,
  Raft,
  type RaftMessage,
  type RaftOutput,
  type RaftTuning,
  type Snapshot,
  type StoredState,
  textOf,
  votersOf,
} from "@quetzalcove/core";
import type { Checker, VoterDisk } from "./raft_checker.ts";
import { adoptSnapshot, membershipOf, termAt, writeTo } from "./raft_disk.ts";

const ELECTION_MS = 400;
const LEASE_MS = 200;

/** Low limits, so that short runs reach compaction, snapshot chunks and split appends. */
const TUNING: Partial<RaftTuning> = {
  heartbeatMs: 100,
  electionMs: ELECTION_MS,
  leaseMs: LEASE_MS,
  trailingEntries: 2,
  window: { messages: 3, size: 1_000 },
  maxAppendSize: 100,
  maxEntrySize: 67,
  chunkLength: 24,
};

/** What all replicas of a simulated group share. */
export interface Environment {
  checker: Checker;
  now: () => number;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random: () => number;
  send: (messages: readonly RaftMessage[]) => void;
  /** The disks of the replicas with these ids. */
  disks: (ids: readonly string[]) => VoterDisk[];
  /** Called with the read indices that a leader confirmed. */
  onReadsConfirmed: (reads: RaftOutput["reads"]) => void;
  /** Called when a replica leads, with its term. */
  onLeader: (term: number) => void;
}

interface StateMachine {
  index: number;
  commands: string[];
}

export class SimulatedNode {
  readonly id: string;
  readonly entry: string;
  /** Undefined while the process is down. */
  raft: Raft | undefined;
  /** State that is synced to disk. */
  readonly disk: StoredState;
  stateMachine: StateMachine = { index: 0, commands: [] };
  /** A stalled disk syncs nothing. */
  isDiskStalled = false;
  /** A frozen process does nothing. */
  isFrozen = false;
  isDiskLost = false;
  readonly #environment: Environment;
  /** State that is written, synced or not. */
  #pageCache: StoredState;
  #unsynced: RaftOutput[] = [];
  /** Client writes proposed at this replica that await their commit, by index. */
  readonly #proposals = new Map<number, { id: string; term: number }>();
  /** Reads that wait until their index is applied on this replica. */
  #reads: { id: string; index: number }[] = [];
  /** When reads were requested at this replica. */
  readonly #readTimes = new Map<string, number>();
  /** Term in which this replica may hold a lease, and when the lease ends. */
  #lease = { term: 0, endsAt: -Infinity, isGiven: true };

  constructor(
    name: { id: string; entry: string },
    disk: StoredState,
    environment: Environment,
  ) {
    this.id = name.id;
    this.entry = name.entry;
    this.disk = disk;
    this.#pageCache = structuredClone(disk);
    this.#environment = environment;
    this.restart();
  }

  get membership(): Membership {
    return this.raft?.membership ?? membershipOf(this.disk);
  }

  get isLeader(): boolean {
    return this.raft?.status.role === "leader";
  }

  /** Whether this replica leads an earlier term and counts on it that no other replica has been elected. */
  holdsLeaseBefore(term: number): boolean {
    const status = this.raft?.status;
    return status?.role === "leader" && status.term < term &&
      this.#lease.term === status.term &&
      this.#environment.now() < this.#lease.endsAt;
  }

  /** Ends the lease for a transfer, after which another replica may be elected at any time in this term. */
  endLease(): void {
    const term = this.raft?.status.term ?? this.#lease.term;
    this.#lease = { term, endsAt: -Infinity, isGiven: false };
  }

  restart(): void {
    if (this.raft !== undefined || this.isDiskLost) {
      return;
    }
    const { now, random } = this.#environment;
    this.#pageCache = structuredClone(this.disk);
    this.stateMachine = stateMachineOf(this.disk.snapshot);
    const stored = structuredClone(this.disk);
    const options = { replica: this.id, stored, random, tuning: TUNING };
    this.raft = new Raft(options, now());
  }

  /** Ends the process; any prefix of the unsynced writes may have reached the disk. */
  crash(kept: number): void {
    const count = kept % (this.#unsynced.length + 1);
    this.#unsynced.slice(0, count).forEach((o) => writeTo(this.disk, o));
    const installed = this.#unsynced[count]?.write.installed;
    if (installed !== undefined && kept % 2 === 1) {
      adoptSnapshot(this.disk, installed);
    }
    this.raft = undefined;
    this.#unsynced = [];
    this.#proposals.clear();
    this.#reads = [];
    this.#readTimes.clear();
    this.#lease = { term: 0, endsAt: -Infinity, isGiven: true };
  }

  tick(): void {
    if (!this.isFrozen) {
      this.raft?.tick(this.#environment.now());
      this.processOutput();
    }
  }

  receive(message: RaftMessage): void {
    if (!this.isFrozen) {
      this.raft?.receive(message, this.#environment.now());
      this.processOutput();
    }
  }

  /** Proposes the writes of a client. */
  write(ids: readonly string[]): void {
    ids.forEach((id) =>
      this.#environment.checker.recordInvocation(id, "write")
    );
    const proposal = this.raft?.propose(ids, this.#environment.now());
    if (proposal?.ok) {
      const { first, term } = proposal.val;
      ids.forEach((id, i) => this.#proposals.set(first + i, { id, term }));
      this.processOutput();
    }
  }

  /** Asks for a read index. */
  read(id: string): void {
    this.#environment.checker.recordInvocation(id, "read");
    const now = this.#environment.now();
    if (this.raft?.readIndex(id, now).ok) {
      this.#readTimes.set(id, now);
    }
    this.processOutput();
  }

  /** Serves a read once everything up to its index is applied. */
  serve(read: { id: string; index: number }): void {
    if (this.raft !== undefined) {
      this.#reads.push(read);
      this.#serveReady();
    }
  }

  /** Compacts the log. With `kept`, the snapshot is stored at once; otherwise never, as if a crash came first. */
  compact(kept: boolean): void {
    const { index, commands } = this.stateMachine;
    const author = `${this.id}@${index}/${this.#environment.now()}`;
    const data = JSON.stringify({ author, commands, end: author });
    const snapshot = this.raft?.compact(index, data);
    if (!snapshot?.ok) {
      return;
    }
    this.#environment.checker.checkCompaction(snapshot.val);
    if (kept) {
      adoptSnapshot(this.disk, snapshot.val);
      adoptSnapshot(this.#pageCache, snapshot.val);
    }
  }

  /** Syncs the oldest writes and then sends the answers that waited for them. */
  sync(count: number): void {
    if (this.isDiskStalled || this.isFrozen) {
      return;
    }
    for (const output of this.#unsynced.splice(0, count)) {
      writeTo(this.disk, output);
      this.#send(output.messagesAfterSync);
      this.raft?.reportSynced(output.id, this.#environment.now());
    }
    this.processOutput();
  }

  /** Takes all output, sends its messages, writes it without a sync and applies its entries. */
  processOutput(): void {
    while (this.raft?.hasOutput) {
      const output = this.raft.takeOutput();
      this.#checkAppends(output);
      writeTo(this.#pageCache, output);
      this.#unsynced.push(output);
      if (this.isLeader) {
        const { term } = this.raft.status;
        this.#environment.checker.checkLeader(this.id, term, this.#pageCache);
        this.#environment.onLeader(term);
      }
      this.#send(output.messages);
      this.#apply(output);
      this.#serveReady();
      this.#extendLease(output.reads);
      this.#environment.onReadsConfirmed(output.reads);
    }
  }

  /** Extends the lease by a confirmed round, as the driver does. */
  #extendLease(reads: RaftOutput["reads"]): void {
    const { term } = this.raft!.status;
    if (this.#lease.term !== term) {
      this.#lease = { term, endsAt: -Infinity, isGiven: true };
    }
    for (const { context } of reads) {
      const requestedAt = this.#readTimes.get(context);
      this.#readTimes.delete(context);
      if (requestedAt !== undefined && this.#lease.isGiven) {
        const endsAt = requestedAt + LEASE_MS;
        this.#lease.endsAt = Math.max(this.#lease.endsAt, endsAt);
      }
    }
  }

  #send(messages: readonly RaftMessage[]): void {
    messages.forEach((message) => this.#environment.checker.checkVote(message));
    this.#environment.send(messages);
  }

  #checkAppends({ write }: RaftOutput): void {
    let previous = write.installed?.term;
    for (const entry of write.entries) {
      previous ??= termAt(this.#pageCache, entry.index - 1);
      this.#environment.checker.checkAppend(entry, previous);
      previous = entry.term;
    }
  }

  #apply({ write, committed }: RaftOutput): void {
    const { checker } = this.#environment;
    if (write.installed !== undefined) {
      this.stateMachine = stateMachineOf(write.installed);
      checker.checkRestore(write.installed, this.stateMachine.commands.length);
    }
    for (const entry of committed) {
      this.#checkDurable(entry);
      checker.checkApply(this.id, entry, this.stateMachine.index);
      this.stateMachine.index = entry.index;
      if (entry.kind === "command") {
        this.stateMachine.commands.push(entry.data);
      }
      this.#acknowledge(entry);
    }
  }

  #checkDurable(entry: LogEntry): void {
    const { checker, disks } = this.#environment;
    if (this.isLeader && entry.index > checker.applied.length) {
      checker.checkCommit(entry, disks(votersOf(this.membership)));
    }
  }

  #acknowledge({ index, term }: LogEntry): void {
    const proposal = this.#proposals.get(index);
    this.#proposals.delete(index);
    if (proposal?.term === term) {
      this.#environment.checker.checkWriteResponse(proposal.id);
    }
  }

  #serveReady(): void {
    const { index, commands } = this.stateMachine;
    const ready = this.#reads.filter((read) => read.index <= index);
    this.#reads = this.#reads.filter((read) => read.index > index);
    for (const { id } of ready) {
      this.#environment.checker.checkReadResponse(id, commands.length);
    }
  }
}

function stateMachineOf(snapshot: Snapshot | undefined): StateMachine {
  return snapshot === undefined ? { index: 0, commands: [] } : {
    index: snapshot.index,
    commands: JSON.parse(textOf(snapshot.data)).commands,
  };
}
