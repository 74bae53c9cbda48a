/**
 * Runs a group of replicas on a message scheduler with fault injection. Runs are deterministic: everything follows from
 * the actions and their seeds.
 *
 * @module
 */
import {
  bootstrapState,
  emptyStoredState,
  type Membership,
  type MembershipChange,
  type StoredState,
  votersOf,
} from "@quetzalcove/core";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Checker, Violation } from "./raft_checker.ts";
import { Network, type RandomInt } from "./raft_network.ts";
import { type Environment, SimulatedNode } from "./raft_node.ts";

const STEP_MS = 40;
const SYNC_ROUNDS_PER_STEP = 4;
const MAX_RECOVERY_STEPS = 400;
const MAX_LOST_DISKS = 4;

/** Node choices below this select the leader; the others select a node by its position. */
const LEADER_CHOICES = 8;

/** One step of a run. Numbers select among the nodes that exist at that time, modulo their count. */
export type Action =
  | { kind: "run"; steps: number; seed: number; lossPercent: number }
  | { kind: "deliver"; count: number; seed: number }
  | { kind: "write"; node: number; count: number }
  /** Requests the read index at `node` and serves the read at `via`. */
  | { kind: "read"; node: number; via: number }
  /** `kept` selects how many of the unsynced writes reach the disk. */
  | { kind: "crash"; node: number; kept: number }
  | { kind: "restart"; node: number }
  /** Isolates a leader right after it confirmed its leadership, and restarts all others. */
  | { kind: "restart_others" }
  /** Ends all processes at once; `kept` selects how many of the unsynced writes reach the disks. */
  | { kind: "crash_all"; kept: number }
  | { kind: "restart_all" }
  | { kind: "lose_disk"; node: number }
  | { kind: "repair" }
  | { kind: "remove"; node: number }
  | { kind: "change"; node: number; target: number; step: number }
  | { kind: "transfer"; node: number }
  | { kind: "isolate"; node: number }
  | { kind: "partition"; mask: number }
  | { kind: "cut_one_way"; node: number; to: number }
  | { kind: "heal" }
  /** `kept` tells whether the snapshot is stored. */
  | { kind: "compact"; node: number; kept: boolean }
  | { kind: "stall"; node: number }
  | { kind: "freeze"; node: number };

/** A replica group with its network, operator and clients. */
export class Simulation {
  readonly checker = new Checker();
  readonly #network = new Network();
  readonly #nodes: SimulatedNode[] = [];
  #now = 0;
  #operations = 0;
  #lostDisks = 0;
  #randomInt: RandomInt = () => 0;

  constructor(size: number, seed: number) {
    this.#seed(seed);
    this.#add("e1", (id) => bootstrapState(memberOf(id, "e1")));
    for (let i = 2; i <= size; i++) {
      this.#add(`e${i}`, emptyStoredState);
    }
    while (votersOf(this.#membership).length < size) {
      this.#run({ steps: 5, lossPercent: 0 });
      this.#repair();
    }
  }

  perform(action: Action): void {
    switch (action.kind) {
      case "run":
        this.#seed(action.seed);
        return this.#run(action);
      case "deliver":
        this.#seed(action.seed);
        this.#nodes.forEach((node) => node.sync(action.count));
        return this.#deliver({ count: action.count, lossPercent: 1 });
      case "repair":
        return this.#repair();
      case "heal":
        return this.#heal();
      case "crash_all":
        return this.#nodes.forEach((node, i) => node.crash(action.kept + i));
      case "restart_others":
        return this.#restartOthers();
      case "restart_all":
        return this.#nodes.forEach((node) => node.restart());
      case "partition":
        return this.#network.separate(
          this.#nodes.map(({ id }) => id),
          (id) => this.#isInMask(id, action.mask),
        );
      default:
        return this.#performAt(this.#pick(action.node), action);
    }
  }

  /** Ends all faults and checks that the group makes progress and that all voters agree. */
  finish(): void {
    this.#heal();
    this.#network.clear();
    for (const node of this.#nodes) {
      node.isDiskStalled = false;
      node.restart();
    }
    this.#runUntil("leader", () => this.#leader !== undefined);
    this.#leader?.write([this.#newId("w")]);
    this.#runUntil("agreement", () => this.#agrees());
  }

  #performAt(node: SimulatedNode, action: Action): void {
    switch (action.kind) {
      case "write":
        return node.write(
          Array.from({ length: action.count }, () => this.#newId("w")),
        );
      case "read":
        return node.read(`${this.#newId("r")}:${action.via}`);
      case "crash":
        return node.crash(action.kept);
      case "restart":
        return this.#pickDown(action.node)?.restart();
      case "lose_disk":
        return this.#loseDisk(node);
      case "remove":
        return this.#remove(node);
      case "change":
        return this.#changeAt(node, action);
      case "transfer":
        this.#leader?.endLease();
        this.#leader?.raft?.transferLeadership(node.id, this.#now);
        return this.#leader?.processOutput();
      case "isolate":
        return this.#network.separate(
          this.#nodes.map(({ id }) => id),
          (id) => id === node.id,
        );
      case "cut_one_way":
        return this.#network.cut(node.id, this.#pick(action.to).id);
      case "compact":
        return node.compact(action.kept);
      case "stall":
        node.isDiskStalled = !node.isDiskStalled;
        return;
      case "freeze":
        node.isFrozen = true;
        return;
    }
  }

  #restartOthers(): void {
    const leader = this.#leader;
    if (leader === undefined) {
      return;
    }
    leader.read(`${this.#newId("r")}:0`);
    this.#run({ steps: 1, lossPercent: 0 });
    this.#network.separate(
      this.#nodes.map(({ id }) => id),
      (id) => id === leader.id,
    );
    for (const node of this.#nodes.filter((other) => other !== leader)) {
      node.crash(0);
      node.restart();
    }
  }

  get #leader(): SimulatedNode | undefined {
    const leaders = this.#nodes.filter((node) => node.isLeader);
    return leaders.sort((a, b) => b.raft!.status.term - a.raft!.status.term)[0];
  }

  get #membership(): Membership {
    const anyRunning = this.#nodes.find(({ raft }) => raft !== undefined);
    return (this.#leader ?? anyRunning)?.membership ?? { members: [] };
  }

  #seed(seed: number): void {
    const generator = xoroshiro128plus(seed);
    this.#randomInt = (bound) => uniformInt(generator, 0, bound - 1);
  }

  #newId(prefix: string): string {
    this.#operations += 1;
    return `${prefix}${this.#operations}`;
  }

  #pick(choice: number): SimulatedNode {
    const byPosition = this.#nodes[choice % this.#nodes.length]!;
    return choice < LEADER_CHOICES ? this.#leader ?? byPosition : byPosition;
  }

  #pickDown(choice: number): SimulatedNode | undefined {
    const down = this.#nodes.filter(({ raft, isDiskLost }) =>
      raft === undefined && !isDiskLost
    );
    return down[choice % Math.max(1, down.length)];
  }

  #isInMask(id: string, mask: number): boolean {
    const position = this.#nodes.findIndex((node) => node.id === id);
    return ((mask >> position) & 1) === 1;
  }

  #add(entry: string, stored: (id: string) => StoredState): void {
    const id = `${entry}#${String(this.#lostDisks).padStart(4, "0")}`;
    const environment: Environment = {
      checker: this.checker,
      now: () => this.#now,
      random: () => this.#randomInt(1_000) / 1_000,
      send: (messages) => this.#network.send(messages),
      disks: (ids) => this.#nodes.filter((node) => ids.includes(node.id)),
      onReadsConfirmed: (reads) =>
        reads.forEach(({ context, index }) => this.#serveRead(context, index)),
      onLeader: (term) =>
        this.checker.checkLeases(
          term,
          this.#nodes.filter((node) => node.holdsLeaseBefore(term)),
        ),
    };
    this.#nodes.push(new SimulatedNode({ id, entry }, stored(id), environment));
  }

  /** Serves a read at the replica that its client chose; the id ends in that choice. */
  #serveRead(id: string, index: number): void {
    const via = Number(id.split(":")[1]);
    this.#nodes[via % this.#nodes.length]!.serve({ id, index });
  }

  /** Loses a disk permanently if the other voters still are a majority; the entry returns as a new replica. */
  #loseDisk(node: SimulatedNode): void {
    const voters = votersOf(this.#membership);
    const remaining = this.#nodes.filter(({ id, isDiskLost }) =>
      id !== node.id && !isDiskLost && voters.includes(id)
    );
    const keepsMajority = !voters.includes(node.id) ||
      remaining.length > voters.length / 2;
    const isEligible = !node.isDiskLost && !this.#isChanging();
    if (!keepsMajority || !isEligible || this.#lostDisks === MAX_LOST_DISKS) {
      return;
    }
    node.crash(0);
    node.isDiskLost = true;
    this.#lostDisks += 1;
    this.#add(node.entry, emptyStoredState);
  }

  /** Whether there is no leader, or replicas with intact disks differ in their memberships. */
  #isChanging(): boolean {
    const present = this.#nodes.filter(({ isDiskLost }) => !isDiskLost);
    const known = present.map((node) => JSON.stringify(node.membership));
    return new Set(known).size > 1 || this.#leader === undefined;
  }

  /** The operator's next step towards a membership of exactly the replicas with intact disks. */
  #repair(): void {
    const { members } = this.#membership;
    const missing = this.#nodes.find((node) =>
      !node.isDiskLost && !members.some(({ replica }) => replica === node.id)
    );
    const learner = members.find(({ standing }) => standing === "learner");
    const lost = members.find(({ replica }) =>
      this.#nodes.some((node) => node.isDiskLost && node.id === replica)
    );
    if (missing !== undefined) {
      const member = memberOf(missing.id, missing.entry);
      this.#change({ kind: "add", member });
    } else if (learner !== undefined) {
      this.#change({ kind: "promote", replica: learner.replica });
    } else if (lost !== undefined) {
      this.#change({ kind: "remove", replica: lost.replica });
    }
  }

  /** Removes a replica unless a lost one is still a voter: the leader needs an election timeout to notice a loss. */
  #remove(node: SimulatedNode): void {
    const voters = votersOf(this.#membership);
    const hasNoLostVoter = !this.#nodes.some(({ id, isDiskLost }) =>
      isDiskLost && voters.includes(id)
    );
    if (voters.length > 2 && hasNoLostVoter && !this.#isChanging()) {
      this.#change({ kind: "remove", replica: node.id });
    }
  }

  /** Requests an arbitrary change at an arbitrary replica, without regard to the state of the group. */
  #changeAt(
    node: SimulatedNode,
    { target, step }: { target: number; step: number },
  ): void {
    const { id, entry } = this.#nodes[target % this.#nodes.length]!;
    const changes: MembershipChange[] = [
      { kind: "add", member: memberOf(id, entry) },
      { kind: "promote", replica: id },
      { kind: "remove", replica: id },
    ];
    node.raft?.changeMembership(changes[step % changes.length]!, this.#now);
    node.processOutput();
  }

  #change(change: MembershipChange): void {
    this.#leader?.raft?.changeMembership(change, this.#now);
    this.#leader?.processOutput();
  }

  #heal(): void {
    this.#network.heal();
    this.#nodes.forEach((node) => node.isFrozen = false);
  }

  #run({ steps, lossPercent }: { steps: number; lossPercent: number }): void {
    for (let step = 0; step < steps; step++) {
      this.#now += STEP_MS;
      this.#nodes.forEach((node) => node.tick());
      for (let round = 0; round < SYNC_ROUNDS_PER_STEP; round++) {
        this.#nodes.forEach((node) => node.sync(1 + this.#randomInt(3)));
        this.#deliver({ count: this.#network.size, lossPercent });
      }
    }
  }

  #deliver(
    { count, lossPercent }: { count: number; lossPercent: number },
  ): void {
    for (let left = count; left > 0; left--) {
      const message = this.#network.take(this.#randomInt, lossPercent);
      const to = this.#nodes.find(({ id }) => id === message?.to);
      if (message !== undefined) {
        to?.receive(message);
      }
    }
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
    const voters = votersOf(this.#membership);
    const last = this.#leader?.raft?.status.lastIndex;
    return this.#nodes.every((
      { id, isDiskLost, stateMachine },
    ) => isDiskLost || !voters.includes(id) || stateMachine.index === last);
  }
}

function memberOf(
  replica: string,
  entry: string,
): { replica: string; entry: string; zone: string; address: string } {
  return { replica, entry, zone: "z1", address: "127.0.0.1:7000" };
}
