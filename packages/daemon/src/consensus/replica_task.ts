/**
 * The task that drives one Raft replica: it stores, sends and applies what the replica puts out.
 *
 * @module
 */
import {
  apply,
  bootstrap,
  type Command,
  emptyState,
  Err,
  type Fault,
  fault,
  type LogEntry,
  type MembershipChange,
  Ok,
  type Output,
  Raft,
  type RaftMessage,
  type RaftOutput,
  type ReplicaId,
  type Result,
  type Settings,
  type Snapshot,
  type State,
  type Stored,
} from "@quetzalcove/core";
import type { Clock } from "../clock.ts";
import { type Component, ticker } from "../lifecycle.ts";
import type { Log } from "../observe/log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { Storage } from "../storage/storage.ts";
import type { Consensus, Leadership, ReplicaStatus } from "./consensus.ts";

/** What a replica task needs. */
export interface ReplicaParts {
  settings: Settings;
  replica: ReplicaId;
  stored: Stored;
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

interface Waiter {
  term: number;
  settle: (result: Result<Output, Fault>) => void;
}

/** A read that waits for a round; a confirmed round began after the read was asked for. */
interface Barrier {
  askedAt: number;
  settle: (result: Result<void, Fault>) => void;
}

/** Share of the shortest election timeout for which a confirmed round counts. */
const LEASE_SHARE = 0.5;

/** Share of a heartbeat between two ticks. */
const TICK_SHARE = 0.25;

/** Entries behind at which a replica no longer counts as caught up. */
const CAUGHT_UP_ENTRIES = 64;

export class ReplicaTask implements Consensus, Component {
  readonly name = "replica";
  readonly #parts: ReplicaParts;
  #raft: Raft;
  readonly #ticker: Component;
  readonly #waiters = new Map<number, Waiter>();
  readonly #barriers = new Map<string, Barrier>();
  readonly #listeners: (() => void)[] = [];
  #state: State;
  #appliedIndex: number;
  #barrierCount = 0;
  /** Until then no other replica can be elected. */
  #leasedUntil = -Infinity;
  #isTransferring = false;
  #pumpDue = false;
  #stopped = false;
  #wasLeader = false;
  #saving = false;

  constructor(parts: ReplicaParts) {
    this.#parts = parts;
    this.#raft = openRaft(parts, parts.stored);
    const { snapshot } = parts.stored;
    this.#state = snapshot === undefined
      ? emptyState()
      : restore(snapshot.data);
    this.#appliedIndex = snapshot?.index ?? 0;
    this.#ticker = ticker(
      "raft ticks",
      parts.settings.raft.heartbeatMs * TICK_SHARE,
      () => {
        this.#event((now) => this.#raft.tick(now));
      },
    );
  }

  get state(): State {
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
    const stored = bootstrap({ replica, entry, zone, address: listen.link });
    const { hardState, entries } = stored;
    const saved = await storage.save({ hardState, entries });
    if (saved.ok) {
      this.#raft = openRaft(this.#parts, stored);
      log.info("raft.bootstrapped", { replica });
    }
    return saved;
  }

  leadership(): Leadership {
    const { term, leader, role } = this.#raft.status;
    return {
      term,
      leader: leader === undefined ? undefined : entryOf(leader),
      isLeader: role === "leader",
    };
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

  propose(command: Command): Promise<Result<Output, Fault>> {
    if (this.#stopped) {
      return Promise.resolve(Err(stoppedReplica()));
    }
    return new Promise((settle) => {
      this.#event((now) => {
        const proposed = this.#raft.propose([JSON.stringify(command)], now);
        if (proposed.err) {
          settle(Err(this.#asNotLeader(proposed.val)));
        } else {
          this.#waiters.set(proposed.val.first, {
            term: proposed.val.term,
            settle,
          });
        }
      });
    });
  }

  /**
   * A round that a quorum confirmed keeps followers from electing another leader for an election timeout, so reads
   * within part of that time need no round of their own (Ongaro's thesis, section 6.4.1).
   */
  barrier(): Promise<Result<void, Fault>> {
    const askedAt = this.#parts.clock.monotonic();
    if (this.#stopped) {
      return Promise.resolve(Err(stoppedReplica()));
    }
    if (askedAt < this.#leasedUntil) {
      return Promise.resolve(Ok.EMPTY);
    }
    return new Promise((settle) => {
      this.#event((now) => {
        this.#barrierCount += 1;
        const context = String(this.#barrierCount);
        const asked = this.#raft.readIndex(context, now);
        if (asked.err) {
          settle(Err(this.#asNotLeader(asked.val)));
        } else {
          this.#barriers.set(context, { askedAt, settle });
        }
      });
    });
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
    this.#isTransferring = true;
    this.#leasedUntil = -Infinity;
    this.#event((now) => {
      result = this.#raft.transferLeadership(member.replica, now);
    });
    return result;
  }

  replicas(): ReplicaStatus[] {
    const { replica, leader, lastIndex } = this.#raft.status;
    const matched = new Map(
      this.#raft.progress.map((known) => [known.replica, known.match]),
    );
    matched.set(replica, lastIndex);
    return this.#raft.membership.members.map((member) => {
      const match = matched.get(member.replica) ?? 0;
      return {
        replica: member.replica,
        entry: member.entry,
        zone: member.zone,
        role: member.replica === leader ? "leader" : roleOf(member.standing),
        matched: match,
        caughtUp: lastIndex - match <= CAUGHT_UP_ENTRIES,
      };
    });
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
      this.#perform(this.#raft.take());
    }
    this.#followLeadership();
    this.#compactIfDue();
  }

  #perform(output: RaftOutput): void {
    output.messages.forEach((message) => this.#send(message));
    void this.#store(output);
    if (output.write.installed !== undefined) {
      this.#state = restore(output.write.installed.data);
      this.#appliedIndex = output.write.installed.index;
    }
    output.committed.forEach((entry) => this.#apply(entry));
    output.reads.forEach(({ context }) =>
      this.#settleBarrier(context, Ok.EMPTY)
    );
    output.lostReads.forEach((context) => {
      this.#settleBarrier(
        context,
        Err(fault("no_leader", "Leadership was lost")),
      );
    });
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
      output.answers.forEach((message) => this.#send(message));
      // A write that waited while the cluster was initialized belongs to the replica before it.
      if (raft === this.#raft) {
        raft.persisted(output.id, now);
      }
    });
  }

  #send(message: RaftMessage): void {
    this.#parts.send(entryOf(message.to), message);
  }

  #apply(entry: LogEntry): void {
    this.#appliedIndex = entry.index;
    const waiter = this.#waiters.get(entry.index);
    this.#waiters.delete(entry.index);
    if (entry.kind !== "command") {
      waiter?.settle(Err(lostLeadership()));
      return;
    }
    const result = apply(this.#state, JSON.parse(entry.data) as Command);
    waiter?.settle(waiter.term === entry.term ? result : Err(lostLeadership()));
  }

  #settleBarrier(context: string, result: Result<void, Fault>): void {
    const barrier = this.#barriers.get(context);
    this.#barriers.delete(context);
    barrier?.settle(result);
    if (barrier !== undefined && result.ok && this.#mayLease()) {
      const { electionMinMs } = this.#parts.settings.raft;
      this.#leasedUntil = Math.max(
        this.#leasedUntil,
        barrier.askedAt + electionMinMs * LEASE_SHARE,
      );
    }
  }

  /** A successor may be elected at any moment during a transfer, so a leader that began one trusts no lease. */
  #mayLease(): boolean {
    return !this.#isTransferring && this.leadership().isLeader;
  }

  #followLeadership(): void {
    const { isLeader, term, leader } = this.leadership();
    if (isLeader === this.#wasLeader) {
      return;
    }
    this.#wasLeader = isLeader;
    this.#leasedUntil = -Infinity;
    this.#isTransferring = false;
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
    for (const waiter of this.#waiters.values()) {
      waiter.settle(Err(lostLeadership()));
    }
    this.#waiters.clear();
    for (const context of [...this.#barriers.keys()]) {
      this.#settleBarrier(context, Err(lostLeadership()));
    }
  }

  #compactIfDue(): void {
    if (this.#saving || this.#stopped || !this.#raft.compactionDue) {
      return;
    }
    const compacted = this.#raft.compact(
      this.#appliedIndex,
      JSON.stringify(this.#state),
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

function openRaft(parts: ReplicaParts, stored: Stored): Raft {
  const { settings, replica, random, clock } = parts;
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

function restore(data: string): State {
  return JSON.parse(data) as State;
}

function roleOf(standing: "voter" | "learner"): "follower" | "learner" {
  return standing === "voter" ? "follower" : "learner";
}

/** A replica that stopped takes nothing in, so what it is asked did not run. */
function stoppedReplica(): Fault {
  return fault("no_leader", "This replica has stopped", { outcome: "not run" });
}

function lostLeadership(): Fault {
  return fault(
    "no_leader",
    "Leadership was lost before the command was confirmed",
  );
}

/** The entry that holds a replica. */
export function entryOf(replica: ReplicaId): string {
  return replica.slice(0, replica.lastIndexOf("#"));
}
