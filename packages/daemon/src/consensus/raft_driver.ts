/**
 * The driver of one Raft replica: stores, sends and applies its outputs.
 *
 * @module
 */
import {
  bootstrapState,
  entrySizeOf,
  Err,
  type Fault,
  fault,
  fitsMessage,
  linesOf,
  type LogEntry,
  type MembershipChange,
  Ok,
  Raft,
  type RaftMessage,
  type RaftOutput,
  type ReplicaId,
  type ReplicaProgress,
  type Result,
  type Settings,
  type SnapshotMetadata,
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
import {
  leadershipLostFault,
  oversizeFault,
  PendingProposals,
  replicaStoppedFault,
} from "./proposals.ts";
import { type ClockTimes, ReadBarriers } from "./read_barriers.ts";
import { entryOf, leadershipOf, replicaStatuses } from "./replica_status.ts";

/** The settings that a Raft driver needs. */
export interface RaftDriverSettings
  extends Pick<Settings, "entry" | "zone" | "raft"> {
  listen: Pick<Settings["listen"], "link">;
  link: Pick<Settings["link"], "maxMessageBytes">;
}

/** Dependencies of a Raft driver. */
export interface RaftDriverParts<S, C, O> {
  settings: RaftDriverSettings;
  stateMachine: StateMachine<S, C, O>;
  replica: ReplicaId;
  stored: StoredState;
  storage: Storage;
  clock: Clock;
  random: () => number;
  log: Log;
  metrics: Metrics;
  /** Sends a message to the entry that holds its destination replica; the message may be lost. */
  send: (entry: string, message: RaftMessage) => void;
  /** Called after a storage failure; the process must exit. */
  onStorageFailure: (cause: Fault) => void;
}

/** How long a replica has been tracked and has not answered, in milliseconds. */
export type ContactTimes = Pick<ReplicaProgress, "silentMs" | "trackedMs">;

/** Longest time that a proposal waits for the log write in progress: more than a sync of a healthy disk takes. */
const MAX_PROPOSAL_WAIT_MS = 10;

/** Duration of the leader lease, as a share of the minimum election timeout. */
const LEASE_SHARE = 0.5;

/** Interval of Raft ticks, as a share of the heartbeat interval. */
const TICK_INTERVAL_SHARE = 0.25;

/** A command that waits to be proposed. */
interface QueuedProposal<O> {
  command: string;
  settle: (result: Result<O, Fault>) => void;
}

export class RaftDriver<S, C, O> implements Consensus<S, C, O>, Component {
  readonly name = "replica";
  readonly #parts: Omit<RaftDriverParts<S, C, O>, "stored">;
  #raft: Raft;
  readonly #ticker: Component;
  readonly #proposals = new PendingProposals<O>();
  /** Commands to be proposed together when the log write in progress ends. */
  #queuedProposals: QueuedProposal<O>[] = [];
  #proposalTimer: NodeJS.Timeout | undefined;
  /** Number of log entry writes in progress. */
  #entryWrites = 0;
  readonly #barriers: ReadBarriers;
  readonly #listeners: (() => void)[] = [];
  #state: S;
  #appliedIndex: number;
  #isOutputScheduled = false;
  #stopped = false;
  #wasLeader = false;
  #isSavingSnapshot = false;

  constructor({ stored, ...parts }: RaftDriverParts<S, C, O>) {
    // The stored log would stay in memory with the parts.
    this.#parts = parts;
    this.#raft = openRaft(parts, stored, parts.clock.processStart());
    this.#barriers = new ReadBarriers(leaseMsOf(parts.settings));
    const { snapshot } = stored;
    this.#state = snapshot === undefined
      ? parts.stateMachine.empty()
      : parts.stateMachine.decode(linesOf(snapshot.data));
    this.#appliedIndex = snapshot?.index ?? 0;
    this.#ticker = ticker(
      "raft ticks",
      parts.settings.raft.heartbeatMs * TICK_INTERVAL_SHARE,
      () => {
        this.#step((now) => this.#raft.tick(now));
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
    this.#failPending();
    await this.#parts.storage.close();
  }

  /** Whether this replica belongs to an initialized cluster. */
  get isFormed(): boolean {
    return this.#raft.membership.members.length > 0;
  }

  /** Makes this replica the first voter of a new cluster; only for a replica that belongs to none. */
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

  /** Handles a message from another replica. */
  receive(message: RaftMessage): void {
    if (message.to === this.replica) {
      this.#step((now) => this.#raft.receive(message, now));
    }
  }

  propose(command: C): Promise<Result<O, Fault>> {
    if (this.#stopped) {
      return Promise.resolve(Err(replicaStoppedFault()));
    }
    const text = JSON.stringify(command);
    const { maxMessageBytes } = this.#parts.settings.link;
    if (!fitsMessage(text, maxMessageBytes)) {
      return Promise.resolve(Err(oversizeFault(text.length, maxMessageBytes)));
    }
    return new Promise((settle) => {
      this.#queuedProposals.push({ command: text, settle });
      if (this.#entryWrites === 0) {
        this.#proposeQueued();
      } else {
        this.#proposalTimer ??= setTimeout(
          () => this.#proposeQueued(),
          MAX_PROPOSAL_WAIT_MS,
        );
      }
    });
  }

  /**
   * Proposes the queued commands. Those that arrive during a log write share the next one, and the appends and answers
   * of the other replicas (group commit).
   */
  #proposeQueued(): void {
    clearTimeout(this.#proposalTimer);
    this.#proposalTimer = undefined;
    const queued = this.#queuedProposals.splice(0);
    if (queued.length === 0) {
      return;
    }
    this.#step((now) => {
      for (const { command, settle } of queued) {
        const proposed = this.#raft.propose([command], now);
        if (proposed.err) {
          settle(Err(this.#withKnownLeader(proposed.val)));
        } else {
          const { first, term } = proposed.val;
          this.#proposals.add(first, { term, settle });
        }
      }
    });
  }

  barrier(): Promise<Result<void, Fault>> {
    const requestedAt = this.#clockTimes();
    if (this.#stopped) {
      return Promise.resolve(Err(replicaStoppedFault()));
    }
    if (this.#barriers.hasLease(requestedAt)) {
      return Promise.resolve(Ok.EMPTY);
    }
    return new Promise((settle) => {
      this.#step((now) => {
        const context = this.#barriers.nextContext();
        const requested = this.#raft.readIndex(context, now);
        if (requested.err) {
          settle(Err(this.#withKnownLeader(requested.val)));
        } else {
          this.#barriers.add(context, { requestedAt, settle });
        }
      });
    });
  }

  /** Whether this replica leads with a valid lease, so that no other can have been elected. */
  get isConfirmedLeader(): boolean {
    return !this.#stopped && this.#raft.status.role === "leader" &&
      this.#barriers.hasLease(this.#clockTimes());
  }

  /** How long this leader has tracked each other replica, and since when that has not answered. */
  contactTimes(): Map<ReplicaId, ContactTimes> {
    return new Map(
      this.#raft.progress.map(({ replica, silentMs, trackedMs }) => [
        replica,
        { silentMs, trackedMs },
      ]),
    );
  }

  /** Starts a membership change; only at the leader. */
  changeMembership(change: MembershipChange): Result<void, Fault> {
    let result: Result<void, Fault> = Ok.EMPTY;
    this.#step((now) => {
      result = this.#raft.changeMembership(change, now).map(() => undefined);
    });
    return result;
  }

  /** Starts a transfer of the leadership to the replica of another entry. */
  transfer(entry: string): Result<void, Fault> {
    const member = this.replicas().find((known) => known.entry === entry);
    if (member === undefined) {
      return Err(fault("not_found", `Entry "${entry}" holds no replica`));
    }
    let result: Result<void, Fault> = Ok.EMPTY;
    this.#barriers.beginTransfer();
    this.#step((now) => {
      result = this.#raft.transferLeadership(member.replica, now);
    });
    return result;
  }

  replicas(): ReplicaStatus[] {
    return replicaStatuses(this.#raft);
  }

  #clockTimes(): ClockTimes {
    const { clock } = this.#parts;
    return { monotonic: clock.monotonic(), wall: clock.wall() };
  }

  #step(handle: (now: number) => void): void {
    if (this.#stopped) {
      return;
    }
    handle(this.#parts.clock.monotonic());
    this.#scheduleOutputHandling();
  }

  /** Steps of one turn of the event loop share one output, so that their log entries share one sync. */
  #scheduleOutputHandling(): void {
    if (!this.#isOutputScheduled) {
      this.#isOutputScheduled = true;
      setImmediate(() => {
        this.#isOutputScheduled = false;
        this.#handleOutputs();
      });
    }
  }

  #handleOutputs(): void {
    while (!this.#stopped && this.#raft.hasOutput) {
      this.#handleOutput(this.#raft.takeOutput());
    }
    this.#updateRole();
    this.#compactIfDue();
  }

  #handleOutput(output: RaftOutput): void {
    output.messages.forEach((message) => this.#send(message));
    void this.#store(output);
    if (output.write.installed !== undefined) {
      // The earlier state is given up first, since both may not fit into memory.
      this.#state = this.#parts.stateMachine.empty();
      this.#state = this.#parts.stateMachine.decode(
        linesOf(output.write.installed.data),
      );
      this.#appliedIndex = output.write.installed.index;
    }
    output.committed.forEach((entry) => this.#apply(entry));
    output.reads.forEach(({ context }) => this.#barriers.confirm(context));
    output.lostReads.forEach((context) =>
      this.#barriers.fail(context, leadershipLostFault())
    );
    if (output.committed.length > 0 || output.write.installed !== undefined) {
      this.#listeners.forEach((listener) => listener());
    }
  }

  async #store(output: RaftOutput): Promise<void> {
    const { storage, metrics, clock } = this.#parts;
    const raft = this.#raft;
    const startedAt = clock.monotonic();
    const hasEntries = output.write.entries.length > 0;
    this.#entryWrites += hasEntries ? 1 : 0;
    const stored = await storage.save(output.write);
    this.#entryWrites -= hasEntries ? 1 : 0;
    if (stored.err) {
      this.#onStorageFailure(stored.val);
      return;
    }
    metrics.observe(
      "quetzalcove_log_sync_seconds",
      clock.monotonic() - startedAt,
    );
    const { installed } = output.write;
    const { snapshotFile } = storage;
    if (installed !== undefined && snapshotFile?.index === installed.index) {
      raft.replaceSnapshotText(installed.index, snapshotFile);
    }
    this.#step((now) => {
      output.messagesAfterSync.forEach((message) => this.#send(message));
      // A write that was pending while the cluster was initialized belongs to the previous Raft instance.
      if (raft === this.#raft) {
        raft.reportSynced(output.id, now);
      }
    });
    if (this.#entryWrites === 0) {
      this.#proposeQueued();
    }
  }

  #send(message: RaftMessage): void {
    this.#parts.send(entryOf(message.to), message);
  }

  #apply(entry: LogEntry): void {
    this.#appliedIndex = entry.index;
    const result = entry.kind === "command"
      ? this.#parts.stateMachine.apply(this.#state, JSON.parse(entry.data) as C)
      : undefined;
    this.#proposals.settle(entry, result);
  }

  #updateRole(): void {
    const { isLeader, term, leader } = this.leadership();
    if (isLeader === this.#wasLeader) {
      return;
    }
    this.#wasLeader = isLeader;
    this.#barriers.resetLease();
    if (!isLeader) {
      this.#failPending();
    }
    this.#parts.log.info("raft.role", {
      role: isLeader ? "leader" : "follower",
      term,
      leader,
    });
    this.#listeners.forEach((listener) => listener());
  }

  #failPending(): void {
    if (this.#stopped) {
      clearTimeout(this.#proposalTimer);
      this.#queuedProposals.splice(0).forEach(({ settle }) =>
        settle(Err(replicaStoppedFault()))
      );
    }
    this.#proposals.failAll();
    this.#barriers.failAll(leadershipLostFault());
  }

  #compactIfDue(): void {
    if (this.#isSavingSnapshot || this.#stopped || !this.#raft.compactionDue) {
      return;
    }
    const metadata = this.#raft.snapshotAt(this.#appliedIndex);
    if (metadata.ok) {
      this.#isSavingSnapshot = true;
      void this.#saveSnapshot(metadata.val);
    }
  }

  /** Writes a snapshot while commands are applied, then drops the log that it covers. */
  async #saveSnapshot(metadata: SnapshotMetadata): Promise<void> {
    const { storage, log, clock } = this.#parts;
    const raft = this.#raft;
    const state = this.#state;
    const startedAt = clock.monotonic();
    const saved = await storage.compact(
      metadata,
      this.#snapshotParts(state),
      () => raft.oldestSnapshotInUse,
    );
    this.#isSavingSnapshot = false;
    if (this.#state !== state) {
      // The leader's snapshot took its place.
      return;
    }
    if (saved.err) {
      this.#onStorageFailure(saved.val);
      return;
    }
    raft.compact(metadata.index, saved.val);
    log.info("raft.snapshot", {
      index: metadata.index,
      bytes: saved.val.length,
      tookMs: Math.round(clock.monotonic() - startedAt),
    });
  }

  /** The parts of a snapshot of the state, as long as it is that of this replica. */
  *#snapshotParts(state: S): Generator<string> {
    for (const line of this.#parts.stateMachine.encode(state)) {
      if (this.#state !== state) {
        throw new Error("The state was replaced by a snapshot of the leader");
      }
      yield `${line}\n`;
    }
  }

  /** Stops the replica: after a failed write it must not send or confirm anything. */
  #onStorageFailure(cause: Fault): void {
    if (!this.#stopped) {
      this.#stopped = true;
      this.#failPending();
      this.#parts.onStorageFailure(cause);
    }
  }

  /** Adds the leader's entry, if it is known, to a fault of a replica that does not lead. */
  #withKnownLeader(original: Fault): Fault {
    if (original.kind !== "not_leader" && original.kind !== "no_leader") {
      return original;
    }
    const { leader } = this.leadership();
    return leader === undefined
      ? original
      : { ...original, kind: "not_leader", leader };
  }
}

function leaseMsOf({ raft }: RaftDriverSettings): number {
  return raft.electionMinMs * LEASE_SHARE;
}

function openRaft(
  { settings, replica, random, clock }: Pick<
    RaftDriverParts<never, never, never>,
    "settings" | "replica" | "random" | "clock"
  >,
  stored: StoredState,
  processStart?: number,
): Raft {
  return new Raft({
    replica,
    processStart,
    stored,
    random,
    tuning: {
      heartbeatMs: settings.raft.heartbeatMs,
      electionMs: settings.raft.electionMinMs,
      leaseMs: leaseMsOf(settings),
      maxLogEntries: settings.raft.snapshotEveryEntries,
      maxEntrySize: entrySizeOf(settings.link.maxMessageBytes),
    },
  }, clock.monotonic());
}
