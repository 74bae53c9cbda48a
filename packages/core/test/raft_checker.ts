/**
 * Checks the safety properties of Raft (Ongaro's thesis, figure 3.2) and linearizability over everything that a
 * simulated group stores, applies and answers.
 *
 * @module
 */
import {
  type LogEntry,
  type RaftMessage,
  type Snapshot,
  type StoredState,
  textOf,
} from "@quetzalcove/core";

/** A violated property. */
export class Violation extends Error {}

function assertProperty(holds: boolean, property: string): asserts holds {
  if (!holds) {
    throw new Violation(property);
  }
}

interface StoredEntry {
  entry: LogEntry;
  previousTerm: number;
}

interface Operation {
  kind: "write" | "read";
  /** The highest command count that any operation had returned when this one was invoked. */
  minimumCount: number;
}

/** The disk of a voter, and whether it was lost. */
export interface VoterDisk {
  disk: StoredState;
  isDiskLost: boolean;
}

/** Checks the events that all replicas of one group report. */
export class Checker {
  /** Entries in the order of their index, as the first replica to apply each one applied it. */
  readonly applied: LogEntry[] = [];
  readonly #leaders = new Map<number, string>();
  readonly #votes = new Map<string, string>();
  readonly #entries = new Map<string, StoredEntry>();
  readonly #operations = new Map<string, Operation>();
  /** Number of commands up to each applied index. */
  readonly #counts: number[] = [];
  readonly #positions = new Map<string, number>();
  #highestReturned = 0;
  /** Number of operations that returned. */
  completed = 0;

  /** Number of terms that had a leader. */
  get terms(): number {
    return this.#leaders.size;
  }

  /** Log matching: an index and a term determine the entry and the term of the one before. */
  checkAppend(entry: LogEntry, previousTerm: number): void {
    const key = `${entry.index}/${entry.term}`;
    const known = this.#entries.get(key);
    if (known === undefined) {
      this.#entries.set(key, { entry, previousTerm });
      return;
    }
    assertProperty(
      isSame(known.entry, entry),
      `log matching: entry ${key} differs`,
    );
    assertProperty(
      known.previousTerm === previousTerm,
      `log matching: entry ${key} follows different terms`,
    );
  }

  /** Election safety (one leader in a term), and leader completeness over all entries applied from earlier terms. */
  checkLeader(replica: string, term: number, log: StoredState): void {
    const known = this.#leaders.get(term);
    if (known === replica) {
      return;
    }
    assertProperty(
      known === undefined,
      `election safety: ${known} and ${replica} lead term ${term}`,
    );
    this.#leaders.set(term, replica);
    const base = log.snapshot?.index ?? 0;
    for (const entry of this.applied) {
      const held = log.entries[entry.index - base - 1];
      assertProperty(
        entry.index <= base || entry.term >= term || held?.term === entry.term,
        `leader completeness: ${replica} leads term ${term} without entry ${entry.index}`,
      );
    }
  }

  /** No replica is elected while a leader of an earlier term holds its lease. */
  checkLeases(term: number, holders: readonly { id: string }[]): void {
    assertProperty(
      holders.length === 0,
      `lease: term ${term} begins while ${holders[0]?.id} holds a lease`,
    );
  }

  /** A replica votes for at most one candidate in a term, also across crashes. */
  checkVote(message: RaftMessage): void {
    const isVote = message.kind === "vote_answer" && message.granted;
    if (!isVote && message.kind !== "vote") {
      return;
    }
    const candidate = isVote ? message.to : message.from;
    const key = `${message.from}/${message.term}`;
    const known = this.#votes.get(key) ?? candidate;
    assertProperty(
      known === candidate,
      `vote: ${key} was cast for both ${known} and ${candidate}`,
    );
    this.#votes.set(key, candidate);
  }

  /** State machine safety: every replica applies the same entries in the same order. */
  checkApply(replica: string, entry: LogEntry, previousIndex: number): void {
    assertProperty(
      entry.index === previousIndex + 1,
      `state machine: ${replica} applies ${entry.index} after ${previousIndex}`,
    );
    const known = this.applied[entry.index - 1];
    if (known !== undefined) {
      assertProperty(
        isSame(known, entry),
        `state machine safety: ${replica} applies another entry ${entry.index}`,
      );
      return;
    }
    this.#applyFirst(entry);
  }

  #applyFirst(entry: LogEntry): void {
    assertProperty(
      entry.index === this.applied.length + 1,
      `state machine: entry ${entry.index} is applied before earlier ones`,
    );
    this.applied.push(entry);
    const count = (this.#counts.at(-1) ?? 0) +
      (entry.kind === "command" ? 1 : 0);
    this.#counts.push(count);
    if (entry.kind === "command") {
      this.#checkWrite(entry.data, count);
    }
  }

  /** An entry is committed only if a majority has it on disk and no voter without it could be elected. */
  checkCommit(entry: LogEntry, voters: readonly VoterDisk[]): void {
    const majority = Math.floor(voters.length / 2) + 1;
    const holders = voters.filter(({ disk }) => holds(disk, entry)).length;
    assertProperty(
      holders >= majority,
      `commit: entry ${entry.index} is on the disks of ${holders} of ${voters.length} voters`,
    );
    const present = voters.filter(({ isDiskLost }) => !isDiskLost);
    for (const { disk } of present.filter((v) => !holds(v.disk, entry))) {
      const supporters = present.filter((v) => isUpToDate(disk, v.disk));
      assertProperty(
        supporters.length < majority,
        `commit: a voter without entry ${entry.index} could be elected`,
      );
    }
  }

  /** A snapshot holds the membership that was committed at its index. */
  checkCompaction({ index, membership }: Snapshot): void {
    const entry = this.applied.slice(0, index).findLast(({ kind }) =>
      kind === "membership"
    );
    const known = entry?.kind === "membership" ? entry.membership : undefined;
    assertProperty(
      JSON.stringify(known) === JSON.stringify(membership),
      `snapshot: membership at ${index} is not the committed one`,
    );
  }

  /** An installed snapshot comes from one author only and holds exactly the commands up to its index. */
  checkRestore({ index, data }: Snapshot, count: number): void {
    const { author, end } = JSON.parse(textOf(data));
    assertProperty(
      author === end,
      `snapshot: at ${index} mixes chunks of ${author} and ${end}`,
    );
    assertProperty(
      this.#counts[index - 1] === count,
      `snapshot: ${count} commands are restored at ${index}`,
    );
  }

  recordInvocation(id: string, kind: Operation["kind"]): void {
    this.#operations.set(id, { kind, minimumCount: this.#highestReturned });
  }

  /** Linearizability of writes: a write is applied after all operations that had returned before its invocation. */
  #checkWrite(id: string, position: number): void {
    const operation = this.#operations.get(id);
    assertProperty(
      operation?.kind === "write",
      `write ${id} was never proposed`,
    );
    assertProperty(!this.#positions.has(id), `write ${id} is applied twice`);
    this.#positions.set(id, position);
    assertProperty(
      position > operation.minimumCount,
      `linearizability: write ${id} is applied as number ${position} after ${operation.minimumCount} was returned`,
    );
  }

  /** A write that its replica acknowledges has been applied. */
  checkWriteResponse(id: string): void {
    const position = this.#positions.get(id);
    assertProperty(
      position !== undefined,
      `write ${id} is acknowledged but not applied`,
    );
    this.#recordResponse(position);
  }

  /** Linearizability of reads: a read sees all operations that had returned before its invocation. */
  checkReadResponse(id: string, count: number): void {
    const minimumCount = this.#operations.get(id)?.minimumCount ?? Number.NaN;
    assertProperty(
      count >= minimumCount,
      `linearizability: read ${id} returns ${count} after ${minimumCount} was returned`,
    );
    this.#recordResponse(count);
  }

  #recordResponse(count: number): void {
    this.completed += 1;
    this.#highestReturned = Math.max(this.#highestReturned, count);
  }
}

function holds(disk: StoredState, { index, term }: LogEntry): boolean {
  const base = disk.snapshot?.index ?? 0;
  return index <= base || disk.entries[index - base - 1]?.term === term;
}

function isSame(a: LogEntry, b: LogEntry): boolean {
  return a === b || JSON.stringify(a) === JSON.stringify(b);
}

/** Whether a voter with the second log would vote for a candidate with the first. */
function isUpToDate(candidate: StoredState, voter: StoredState): boolean {
  const own = lastOf(candidate);
  const other = lastOf(voter);
  return own.term > other.term ||
    (own.term === other.term && own.index >= other.index);
}

function lastOf(
  { snapshot, entries }: StoredState,
): { index: number; term: number } {
  return entries.at(-1) ?? snapshot ?? { index: 0, term: 0 };
}
