/**
 * The task that drives one Raft replica: it stores, sends and applies what the replica puts out.
 *
 * @module
 */
import {
  bootstrapState,
  Err,
  type Fault,
  fault,
  type LogEntry,
  type MembershipChange,
  Ok,
  Raft,
  type RaftMessage,
  type RaftOutput,
  type ReplicaId,
  type Result,
  type Settings,
  type Snapshot,
  type StoredState,
} from "@quetzalcove/core";
import type { Clock } from "../clock.ts";
import { type Component, ticker } from "../lifecycle.ts";
import type { Log } from "../observe/log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { Storage } from "../storage/storage.ts";
import type {
  Consensus,
  Leadership,
  ReplicaStatus,
  StateMachine,
} from "./consensus.ts";
import { lostLeadership, Proposals, stoppedReplica } from "./proposals.ts";
import { type Moment, ReadBarriers } from "./read_barriers.ts";
import { entryOf, leadershipOf, replicaStatuses } from "./replica_status.ts";

/** The settings that a replica task reads. */
export interface ReplicaSettings
  extends Pick<Settings, "entry" | "zone" | "raft"> {
  listen: Pick<Settings["listen"], "link">;
}

/** What a replica task needs. */
export interface ReplicaParts<S, C, O> {
  settings: ReplicaSettings;
  machine: StateMachine<S, C, O>;
  replica: ReplicaId;
  stored: StoredState;
  storage: Storage;
  clock: Clock;
  random: () => number;
  log: Log;
  metrics: Metrics;
  /** Sends a message to the entry that holds a replica; it may be lost. */
  send: (entry: string, message: RaftMessage) => void;
  /** Called when storage failed; the process must stop. */
  onStorageFailure: (cause: Fault) => void;
}

/** Share of a heartbeat between two ticks. */
const TICK_SHARE = 0.25;

export class ReplicaTask<S, C, O> implements Consensus<S, C, O>, Component {
  readonly name = "replica";
  readonly #parts: ReplicaParts<S, C, O>;
  #raft: Raft;
  readonly #ticker: Component;
  readonly #proposals = new Proposals<O>();
  readonly #barriers: ReadBarriers;
  readonly #listeners: (() => void)[] = [];
  #state: S;
  #appliedIndex: number;
  #pumpDue = false;
  #stopped = false;
  #wasLeader = false;
  #saving = false;

  constructor(parts: ReplicaParts<S, C, O>) {
    this.#parts = parts;
    this.#raft = openRaft(parts, parts.stored);
    this.#barriers = new ReadBarriers(parts.settings.raft.electionMinMs);
    const { snapshot } = parts.stored;
    this.#state = snapshot === undefined
      ? parts.machine.empty()
      : parts.machine.decode(snapshot.data);
    this.#appliedIndex = snapshot?.index ?? 0;
    this.#ticker = ticker(
      "raft ticks",
      parts.settings.raft.heartbeatMs * TICK_SHARE,
      () => {
        this.#event((now) => this.#raft.tick(now));
      },
    );
  }

  get state(): S {
    return this.#state;
  }

  get replica(): ReplicaId {
    return this.#parts.replica;
  }

  start(): Promise<void> {
    return this.#ticker.start();
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#ticker.stop();
    this.#failAll();
    await this.#parts.storage.close();
  }

  /** Whether this replica belongs to a cluster that was initialized. */
  get isFormed(): boolean {
    return this.#raft.membership.members.length > 0;
  }

  /** Makes this replica the first voter of a new cluster. Only for a replica that is not formed. */
  async bootstrap(): Promise<Result<void, Fault>> {
    const { settings, storage, replica, log } = this.#parts;
    const { entry, zone, listen } = settings;
    const { term } = this.#raft.status;
    if (term > 0) {
      return Err(
        fault(
          "conflict",
          `Replica "${replica}" has heard of term ${term} of a cluster`,
          {
            remedy: "Wait until that cluster takes this replica in",
          },
        ),
      );
    }
    const stored = bootstrapState({
      replica,
      entry,
      zone,
      address: listen.link,
    });
    const { hardState, entries } = stored;
    const saved = await storage.save({ hardState, entries });
    if (saved.ok) {
      this.#raft = openRaft(this.#parts, stored);
      log.info("raft.bootstrapped", { replica });
    }
    return saved;
  }

  leadership(): Leadership {
    return leadershipOf(this.#raft);
  }

  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Takes a message of another replica. */
  receive(message: RaftMessage): void {
    if (message.to === this.replica) {
      this.#event((now) => this.#raft.receive(message, now));
    }
  }

  propose(command: C): Promise<Result<O, Fault>> {
    if (this.#stopped) {
      return Promise.resolve(Err(stoppedReplica()));
    }
    return new Promise((settle) => {
      this.#event((now) => {
        const proposed = this.#raft.propose([JSON.stringify(command)], now);
        if (proposed.err) {
          settle(Err(this.#asNotLeader(proposed.val)));
        } else {
          const { first, term } = proposed.val;
          this.#proposals.add(first, { term, settle });
        }
      });
    });
  }

  barrier(): Promise<Result<void, Fault>> {
    const askedAt = this.#moment();
    if (this.#stopped) {
      return Promise.resolve(Err(stoppedReplica()));
    }
    if (this.#barriers.isLeased(askedAt)) {
      return Promise.resolve(Ok.EMPTY);
    }
    return new Promise((settle) => {
      this.#event((now) => {
        const context = this.#barriers.nextContext();
        const asked = this.#raft.readIndex(context, now);
        if (asked.err) {
          settle(Err(this.#asNotLeader(asked.val)));
        } else {
          this.#barriers.add(context, { askedAt, settle });
        }
      });
    });
  }

  /** Whether this replica leads and no other can have been elected. */
  get hasAuthority(): boolean {
    return !this.#stopped && this.#raft.status.role === "leader" &&
      this.#barriers.isLeased(this.#moment());
  }

  /** How long each other replica has been silent towards this leader, in milliseconds. */
  silences(): Map<ReplicaId, number> {
    return new Map(
      this.#raft.progress.map(({ replica, silentMs }) => [replica, silentMs]),
    );
  }

  /** Starts a membership change at the leader. */
  changeMembership(change: MembershipChange): Result<void, Fault> {
    let result: Result<void, Fault> = Ok.EMPTY;
    this.#event((now) => {
      result = this.#raft.changeMembership(change, now).map(() => undefined);
    });
    return result;
  }

  /** Hands the leadership to the replica of another entry. */
  transfer(entry: string): Result<void, Fault> {
    const member = this.replicas().find((known) => known.entry === entry);
    if (member === undefined) {
      return Err(fault("not_found", `Entry "${entry}" holds no replica`));
    }
    let result: Result<void, Fault> = Ok.EMPTY;
    this.#barriers.beginTransfer();
    this.#event((now) => {
      result = this.#raft.transferLeadership(member.replica, now);
    });
    return result;
  }

  replicas(): ReplicaStatus[] {
    return replicaStatuses(this.#raft);
  }

  #moment(): Moment {
    const { clock } = this.#parts;
    return { monotonic: clock.monotonic(), wall: clock.wall() };
  }

  #event(step: (now: number) => void): void {
    if (this.#stopped) {
      return;
    }
    step(this.#parts.clock.monotonic());
    this.#schedulePump();
  }

  /** Events of one turn of the event loop share one output, so their entries share one sync. */
  #schedulePump(): void {
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
    this.#followLeadership();
    this.#compactIfDue();
  }

  #perform(output: RaftOutput): void {
    output.messages.forEach((message) => this.#send(message));
    void this.#store(output);
    if (output.write.installed !== undefined) {
      this.#state = this.#parts.machine.decode(output.write.installed.data);
      this.#appliedIndex = output.write.installed.index;
    }
    output.committed.forEach((entry) => this.#apply(entry));
    output.reads.forEach(({ context }) => this.#barriers.confirm(context));
    output.lostReads.forEach((context) =>
      this.#barriers.lose(context, lostLeadership())
    );
    if (output.committed.length > 0 || output.write.installed !== undefined) {
      this.#listeners.forEach((listener) => listener());
    }
  }

  async #store(output: RaftOutput): Promise<void> {
    const { storage, metrics, clock } = this.#parts;
    const raft = this.#raft;
    const startedAt = clock.monotonic();
    const stored = await storage.save(output.write);
    if (stored.err) {
      this.#storageFailed(stored.val);
      return;
    }
    metrics.observe(
      "quetzalcove_log_sync_seconds",
      clock.monotonic() - startedAt,
    );
    this.#event((now) => {
      output.messagesAfterSync.forEach((message) => this.#send(message));
      // A write that waited while the cluster was initialized belongs to the replica before it.
      if (raft === this.#raft) {
        raft.reportSynced(output.id, now);
      }
    });
  }

  #send(message: RaftMessage): void {
    this.#parts.send(entryOf(message.to), message);
  }

  #apply(entry: LogEntry): void {
    this.#appliedIndex = entry.index;
    const result = entry.kind === "command"
      ? this.#parts.machine.apply(this.#state, JSON.parse(entry.data) as C)
      : undefined;
    this.#proposals.settle(entry, result);
  }

  #followLeadership(): void {
    const { isLeader, term, leader } = this.leadership();
    if (isLeader === this.#wasLeader) {
      return;
    }
    this.#wasLeader = isLeader;
    this.#barriers.changeRole();
    if (!isLeader) {
      this.#failAll();
    }
    this.#parts.log.info("raft.role", {
      role: isLeader ? "leader" : "follower",
      term,
      leader,
    });
    this.#listeners.forEach((listener) => listener());
  }

  #failAll(): void {
    this.#proposals.loseAll();
    this.#barriers.loseAll(lostLeadership());
  }

  #compactIfDue(): void {
    if (this.#saving || this.#stopped || !this.#raft.compactionDue) {
      return;
    }
    const compacted = this.#raft.compact(
      this.#appliedIndex,
      this.#parts.machine.encode(this.#state),
    );
    if (compacted.ok) {
      this.#saving = true;
      void this.#saveSnapshot(compacted.val);
    }
  }

  async #saveSnapshot(snapshot: Snapshot): Promise<void> {
    const saved = await this.#parts.storage.compact(snapshot);
    this.#saving = false;
    if (saved.err) {
      this.#storageFailed(saved.val);
      return;
    }
    this.#parts.log.info("raft.snapshot", {
      index: snapshot.index,
      bytes: snapshot.data.length,
    });
  }

  /** After a failed write nothing more may be sent or confirmed. */
  #storageFailed(cause: Fault): void {
    if (!this.#stopped) {
      this.#stopped = true;
      this.#failAll();
      this.#parts.onStorageFailure(cause);
    }
  }

  /** A replica that does not lead names the entry that does. */
  #asNotLeader(found: Fault): Fault {
    if (found.kind !== "not_leader" && found.kind !== "no_leader") {
      return found;
    }
    const { leader } = this.leadership();
    return leader === undefined
      ? found
      : { ...found, kind: "not_leader", leader };
  }
}

function openRaft(
  { settings, replica, random, clock }: Pick<
    ReplicaParts<never, never, never>,
    "settings" | "replica" | "random" | "clock"
  >,
  stored: StoredState,
): Raft {
  return new Raft({
    replica,
    stored,
    random,
    tuning: {
      heartbeatMs: settings.raft.heartbeatMs,
      electionMs: settings.raft.electionMinMs,
      maxLogEntries: settings.raft.snapshotEveryEntries,
    },
  }, clock.monotonic());
}
