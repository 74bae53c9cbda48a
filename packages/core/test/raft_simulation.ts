/**
 * Drives a group of replicas through a message scheduler with faults. Everything follows from the actions and their
 * seeds.
 *
 * @module
 */
import {
  bootstrap,
  emptyStored,
  type LogEntry,
  Raft,
  type RaftMessage,
  type RaftOutput,
  type Snapshot,
  type Stored,
  type Tuning,
  votersOf,
} from "@quetzalcove/core";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Checker, Violation } from "./raft_checker.ts";

/** Small bounds, so that short runs reach compaction, chunks and split appends. */
const TUNING: Partial<Tuning> = {
  heartbeatMs: 100,
  electionMs: 400,
  trailingEntries: 2,
  maxAppendSize: 256,
  snapshotChunkLength: 24,
};
const STEP_MS = 40;
const MAX_RECOVERY_STEPS = 400;

/** One step of a run; numbers select among what is there at the time. */
export type Action =
  | { kind: "run"; steps: number; seed: number; lossPercent: number }
  | { kind: "write"; node: number; count: number }
  | { kind: "read"; node: number; via: number }
  | { kind: "crash"; node: number; kept: number }
  | { kind: "restart"; node: number }
  | { kind: "lose_disk"; node: number }
  | { kind: "repair" }
  | { kind: "remove"; node: number }
  | { kind: "transfer"; node: number; to: number }
  | { kind: "partition"; mask: number }
  | { kind: "cut_one_way"; from: number; to: number }
  | { kind: "heal" }
  | { kind: "compact"; node: number; kept: boolean }
  | { kind: "stall"; node: number }
  | { kind: "freeze"; node: number };

interface Machine {
  index: number;
  commands: string[];
}

interface Node {
  id: string;
  entry: string;
  /** Undefined while the process is down. */
  raft: Raft | undefined;
  /** What is synced. */
  disk: Stored;
  /** What is written, synced or not. */
  cache: Stored;
  unsynced: RaftOutput[];
  machine: Machine;
  /** Writes of clients that await their commit here, by index. */
  proposals: Map<number, { id: string; term: number }>;
  /** Reads that await an index here. */
  reads: { id: string; index: number }[];
  lost: boolean;
  stalled: boolean;
  frozen: boolean;
}

/** The group, its network and its clients. */
export class Simulation {
  readonly checker = new Checker();
  readonly #nodes: Node[] = [];
  #messages: RaftMessage[] = [];
  #cut = new Set<string>();
  #now = 0;
  #operations = 0;
  #replacements = 0;
  #random: (bound: number) => number = () => 0;

  constructor(size: number, seed: number) {
    this.#seed(seed);
    this.#add("e1", bootstrap(memberOf("e1#0000", "e1")));
    for (let i = 2; i <= size; i++) {
      this.#add(`e${i}`, emptyStored());
    }
    while (votersOf(this.#newest()).length < size) {
      this.#run({ steps: 5, lossPercent: 0 });
      this.#repair();
    }
  }

  /** Highest index that any replica applied. */
  get applied(): number {
    return this.checker.applied.length;
  }

  perform(action: Action): void {
    const node = "node" in action
      ? this.#nodes[action.node % this.#nodes.length]!
      : undefined;
    switch (action.kind) {
      case "run":
        this.#seed(action.seed);
        return this.#run(action);
      case "repair":
        return this.#repair();
      case "partition":
        return this.#partition(action.mask);
      case "cut_one_way":
        return this.#cutOneWay(action.from, action.to);
      case "heal":
        this.#cut.clear();
        this.#nodes.forEach((n) => n.frozen = false);
        return;
      default:
        return this.#performAt(node!, action);
    }
  }

  /** Ends all faults and checks that the group makes progress and that all replicas agree. */
  finish(): void {
    this.perform({ kind: "heal" });
    for (const node of this.#nodes) {
      node.stalled = false;
      this.#restart(node);
    }
    this.#messages = [];
    this.#runUntil("leader", () => this.#leader() !== undefined);
    this.#write(this.#leader()!, 1);
    this.#runUntil("agreement", () => this.#agrees());
  }

  #runUntil(what: string, holds: () => boolean): void {
    for (let steps = 0; !holds(); steps++) {
      if (steps === MAX_RECOVERY_STEPS) {
        throw new Violation(`liveness: no ${what} after all faults ended`);
      }
      this.#run({ steps: 1, lossPercent: 0 });
    }
  }

  /** Whether every voter applied the whole log of the leader. */
  #agrees(): boolean {
    const voters = votersOf(this.#newest());
    const leader = this.#leader()?.raft?.status;
    return this.#nodes.every(({ id, lost, machine }) =>
      lost || !voters.includes(id) || machine.index === leader?.lastIndex
    );
  }

  #performAt(node: Node, action: Action): void {
    switch (action.kind) {
      case "write":
        return this.#write(this.#client(node, action.node), action.count);
      case "read":
        return this.#read(this.#client(node, action.node), action.via);
      case "crash":
        return this.#crash(node, action.kept);
      case "restart":
        return this.#restart(node);
      case "lose_disk":
        return this.#loseDisk(node);
      case "remove":
        return this.#remove(node);
      case "transfer":
        node.raft?.transferLeadership(this.#pick(action.to).id, this.#now);
        return this.#pump(node);
      case "compact":
        return this.#compact(node, action.kept);
      case "stall":
        node.stalled = !node.stalled;
        return;
      case "freeze":
        node.frozen = true;
        return;
    }
  }

  /** Most clients have found the leader; some still talk to another replica. */
  #client(node: Node, choice: number): Node {
    return choice < 5 ? this.#leader() ?? node : node;
  }

  #seed(seed: number): void {
    const generator = xoroshiro128plus(seed);
    this.#random = (bound) => uniformInt(generator, 0, bound - 1);
  }

  #pick(index: number): Node {
    return this.#nodes[index % this.#nodes.length]!;
  }

  #add(entry: string, stored: Stored): void {
    const suffix = String(this.#replacements).padStart(4, "0");
    const node: Node = {
      id: `${entry}#${suffix}`,
      entry,
      raft: undefined,
      disk: stored,
      cache: structuredClone(stored),
      unsynced: [],
      machine: { index: 0, commands: [] },
      proposals: new Map(),
      reads: [],
      lost: false,
      stalled: false,
      frozen: false,
    };
    this.#nodes.push(node);
    this.#restart(node);
  }

  #restart(node: Node): void {
    if (node.raft !== undefined || node.lost) {
      return;
    }
    const stored: Stored = structuredClone(node.disk);
    node.cache = structuredClone(node.disk);
    node.unsynced = [];
    node.machine = machineOf(stored.snapshot);
    const random = (): number => this.#random(1_000) / 1_000;
    node.raft = new Raft(
      { replica: node.id, stored, random, tuning: TUNING },
      this.#now,
    );
  }

  /** A crash keeps any prefix of the unsynced writes. */
  #crash(node: Node, kept: number): void {
    if (node.raft === undefined) {
      return;
    }
    const count = kept % (node.unsynced.length + 1);
    for (const output of node.unsynced.slice(0, count)) {
      writeTo(node.disk, output);
    }
    const next = node.unsynced[count];
    if (next?.write.installed !== undefined && kept % 2 === 1) {
      adoptSnapshot(node.disk, next.write.installed);
    }
    node.raft = undefined;
    node.unsynced = [];
    node.proposals.clear();
    node.reads = [];
  }

  /** Loses a disk for good, as long as the others can go on; the entry comes back as a new replica. */
  #loseDisk(node: Node): void {
    const voters = votersOf(this.#newest());
    const left = voters.filter((id) =>
      id !== node.id && this.#nodes.some((n) => n.id === id && !n.lost)
    );
    const isVoter = voters.includes(node.id);
    const spare = isVoter ? left.length > voters.length / 2 : true;
    if (node.lost || !spare || this.#replacements > 3 || this.#isChanging()) {
      return;
    }
    this.#crash(node, 0);
    node.lost = true;
    this.#replacements += 1;
    this.#add(node.entry, emptyStored());
  }

  /** Whether the replicas whose disks are there know different memberships. */
  #isChanging(): boolean {
    const present = this.#nodes.filter(({ lost }) => !lost);
    const known = present.map(({ raft, disk }) =>
      JSON.stringify(raft?.membership ?? membershipOf(disk))
    );
    return new Set(known).size > 1 || this.#leader() === undefined;
  }

  /** The next step towards a membership of all replicas whose disks are there, as an operator would ask for it. */
  #repair(): void {
    const leader = this.#leader();
    if (leader?.raft === undefined) {
      return;
    }
    const { raft } = leader;
    const known = raft.membership.members;
    const missing = this.#nodes.find((n) =>
      !n.lost && !known.some((m) => m.replica === n.id)
    );
    const learner = known.find((m) => m.standing === "learner");
    const gone = known.find((m) =>
      this.#nodes.some((n) => n.lost && n.id === m.replica)
    );
    if (missing !== undefined) {
      const member = memberOf(missing.id, missing.entry);
      raft.changeMembership({ kind: "add", member }, this.#now);
    } else if (learner !== undefined) {
      const { replica } = learner;
      raft.changeMembership({ kind: "promote", replica }, this.#now);
    } else if (gone !== undefined) {
      const { replica } = gone;
      raft.changeMembership({ kind: "remove", replica }, this.#now);
    }
    this.#pump(leader);
  }

  #remove(node: Node): void {
    const leader = this.#leader();
    const voters = votersOf(this.#newest());
    if (
      leader?.raft !== undefined && voters.length > 2 && !this.#isChanging()
    ) {
      const change = { kind: "remove", replica: node.id } as const;
      leader.raft.changeMembership(change, this.#now);
      this.#pump(leader);
    }
  }

  #leader(): Node | undefined {
    const leaders = this.#nodes.filter(({ raft }) =>
      raft?.status.role === "leader"
    );
    return leaders.sort((a, b) => b.raft!.status.term - a.raft!.status.term)[0];
  }

  #newest(): Raft["membership"] {
    const { membership } = this.#leader()?.raft ??
      this.#nodes.find(({ raft }) => raft !== undefined)?.raft ??
      { membership: { members: [] } };
    return membership;
  }

  #partition(mask: number): void {
    this.#cut.clear();
    this.#nodes.forEach((a, i) =>
      this.#nodes.forEach((b, j) => {
        if (((mask >> i) & 1) !== ((mask >> j) & 1)) {
          this.#cut.add(`${a.id}>${b.id}`);
        }
      })
    );
  }

  #cutOneWay(from: number, to: number): void {
    this.#cut.add(`${this.#pick(from).id}>${this.#pick(to).id}`);
  }

  #write(node: Node, count: number): void {
    const ids = Array.from({ length: count }, () => `w${++this.#operations}`);
    ids.forEach((id) => this.checker.began(id, "write"));
    const proposal = node.raft?.propose(ids, this.#now);
    if (proposal?.ok) {
      const { first, term } = proposal.val;
      ids.forEach((id, i) => node.proposals.set(first + i, { id, term }));
      this.#pump(node);
    }
  }

  /** Asks the leader for a read index and serves the read at another replica. */
  #read(node: Node, via: number): void {
    const id = `r${++this.#operations}:${via % this.#nodes.length}`;
    this.checker.began(id, "read");
    if (node.raft?.readIndex(id, this.#now).ok) {
      this.#pump(node);
    }
  }

  #compact(node: Node, kept: boolean): void {
    const { raft, machine } = node;
    const data = JSON.stringify(machine.commands);
    const snapshot = raft?.compact(machine.index, data);
    if (snapshot?.ok && kept) {
      adoptSnapshot(node.disk, snapshot.val);
      adoptSnapshot(node.cache, snapshot.val);
    }
  }

  #run({ steps, lossPercent }: { steps: number; lossPercent: number }): void {
    for (let step = 0; step < steps; step++) {
      this.#now += STEP_MS;
      for (const node of this.#nodes) {
        if (!node.frozen) {
          node.raft?.tick(this.#now);
          this.#pump(node);
        }
      }
      this.#exchange(lossPercent);
    }
  }

  /** Syncs and delivers in random order; loses, repeats and holds back some messages. */
  #exchange(lossPercent: number): void {
    for (let round = 0; round < 4; round++) {
      for (const node of this.#nodes) {
        if (!node.stalled && !node.frozen) {
          this.#sync(node, 1 + this.#random(3));
        }
      }
      let budget = this.#messages.length;
      while (budget-- > 0) {
        this.#deliverOne(lossPercent);
      }
    }
  }

  #deliverOne(lossPercent: number): void {
    const { length } = this.#messages;
    const position = lossPercent === 0 ? 0 : this.#random(length);
    const [message] = this.#messages.splice(position, 1);
    const lot = this.#random(100);
    if (message === undefined || lot < lossPercent) {
      return;
    }
    if (lot < 2 * lossPercent) {
      this.#messages.push(message);
    }
    if (lot < 3 * lossPercent && lot >= 2 * lossPercent) {
      this.#messages.push(message);
      return;
    }
    this.#deliver(message);
  }

  #deliver(message: RaftMessage): void {
    const node = this.#nodes.find(({ id }) => id === message.to);
    const cut = this.#cut.has(`${message.from}>${message.to}`);
    if (node?.raft === undefined || node.frozen || cut) {
      return;
    }
    node.raft.receive(message, this.#now);
    this.#pump(node);
  }

  /** Takes all output: sends, writes without sync, applies. */
  #pump(node: Node): void {
    while (node.raft?.hasOutput) {
      const output = node.raft.take();
      this.#note(node, output);
      writeTo(node.cache, output);
      node.unsynced.push(output);
      this.#lead(node);
      this.#send(output.messages);
      this.#apply(node, output);
      this.#serve(output);
    }
  }

  /** Syncs the oldest writes; only then their answers leave. */
  #sync(node: Node, count: number): void {
    const outputs = node.unsynced.splice(0, count);
    for (const output of outputs) {
      writeTo(node.disk, output);
      this.#send(output.answers);
      node.raft?.persisted(output.id, this.#now);
    }
    this.#pump(node);
  }

  #send(messages: readonly RaftMessage[]): void {
    for (const message of messages) {
      this.checker.sent(message);
      this.#messages.push(message);
    }
  }

  #note(node: Node, { write }: RaftOutput): void {
    let previous = write.installed?.term;
    for (const entry of write.entries) {
      previous ??= termAt(node.cache, entry.index - 1);
      this.checker.appended(entry, previous);
      previous = entry.term;
    }
  }

  #lead(node: Node): void {
    const { role, term } = node.raft!.status;
    if (role === "leader") {
      this.checker.leads(node.id, term, node.cache);
    }
  }

  #apply(node: Node, { write, committed }: RaftOutput): void {
    const { machine, raft } = node;
    if (write.installed !== undefined) {
      node.machine = machineOf(write.installed);
      const { index, commands } = node.machine;
      this.checker.restored(node.id, index, commands.length);
      this.#apply(node, { ...emptyOutput(), committed });
      return;
    }
    const { role } = raft!.status;
    for (const entry of committed) {
      if (role === "leader" && entry.index > this.applied) {
        this.checker.durable(entry, this.#votersDisks(raft!));
      }
      this.checker.apply(node.id, entry, machine.index);
      machine.index = entry.index;
      if (entry.kind === "command") {
        machine.commands.push(entry.data);
      }
      this.#acknowledge(node, entry);
    }
  }

  #votersDisks({ membership }: Raft): Stored[] {
    const voters = votersOf(membership);
    return this.#nodes.filter(({ id }) => voters.includes(id)).map((n) =>
      n.disk
    );
  }

  #acknowledge(node: Node, { index, term }: LogEntry): void {
    const proposal = node.proposals.get(index);
    node.proposals.delete(index);
    if (proposal?.term === term) {
      this.checker.acknowledged(proposal.id);
    }
  }

  #serve({ reads }: RaftOutput): void {
    for (const { context: id, index } of reads) {
      const via = this.#pick(Number(id.split(":")[1]));
      via.reads.push({ id, index });
    }
    for (const server of this.#nodes) {
      this.#serveReady(server);
    }
  }

  #serveReady(node: Node): void {
    if (node.raft === undefined) {
      return;
    }
    const { machine } = node;
    const ready = node.reads.filter(({ index }) => index <= machine.index);
    node.reads = node.reads.filter(({ index }) => index > machine.index);
    for (const { id } of ready) {
      this.checker.read(id, machine.commands.length);
    }
  }
}

function memberOf(
  replica: string,
  entry: string,
): { replica: string; entry: string; zone: string; address: string } {
  return { replica, entry, zone: "z1", address: "127.0.0.1:7000" };
}

function machineOf(snapshot: Snapshot | undefined): Machine {
  return snapshot === undefined
    ? { index: 0, commands: [] }
    : { index: snapshot.index, commands: JSON.parse(snapshot.data) };
}

function membershipOf({ snapshot, entries }: Stored): Raft["membership"] {
  const entry = entries.findLast(({ kind }) => kind === "membership");
  return entry?.kind === "membership"
    ? entry.membership
    : snapshot?.membership ?? { members: [] };
}

function emptyOutput(): RaftOutput {
  return {
    id: 0,
    write: { entries: [] },
    messages: [],
    answers: [],
    committed: [],
    reads: [],
    lostReads: [],
  };
}

function termAt({ snapshot, entries }: Stored, index: number): number {
  const base = snapshot?.index ?? 0;
  return index === base
    ? snapshot?.term ?? 0
    : entries[index - base - 1]?.term ?? Number.NaN;
}

/** Replaces the stored snapshot and keeps the entries after it if the log holds its last one. */
function adoptSnapshot(stored: Stored, snapshot: Snapshot): void {
  if (snapshot.index <= (stored.snapshot?.index ?? 0)) {
    return;
  }
  const held = termAt(stored, snapshot.index) === snapshot.term;
  stored.entries = held
    ? stored.entries.filter(({ index }) => index > snapshot.index)
    : [];
  stored.snapshot = snapshot;
}

function writeTo(stored: Stored, { write }: RaftOutput): void {
  const { installed, hardState, entries } = write;
  if (installed !== undefined) {
    stored.snapshot = installed;
    stored.entries = [];
  }
  stored.hardState = hardState ?? stored.hardState;
  const base = stored.snapshot?.index ?? 0;
  for (const entry of entries.filter(({ index }) => index > base)) {
    if (entry.index > base + stored.entries.length + 1) {
      throw new Error(`Write leaves a gap before entry ${entry.index}`);
    }
    stored.entries.length = entry.index - base - 1;
    stored.entries.push(entry);
  }
}
