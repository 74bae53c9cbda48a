/**
 * The replicated log in memory: the entries after a base position that the newest snapshot covers.
 *
 * @module
 */
import type { Membership } from "./member.ts";
import { emptyMembership, votersOf } from "./member.ts";
import type { LogEntry, Snapshot, StoredState } from "./record.ts";
import { sizeOf } from "./record.ts";
import type { SnapshotText } from "./snapshot_text.ts";

/** Index and term of an entry. */
export interface Position {
  index: number;
  term: number;
}

interface MembershipRecord {
  index: number;
  membership: Membership;
}

/** Log entries, the newest snapshot, and the memberships that both contain. */
export class Log {
  #base: Position;
  #entries: LogEntry[] = [];
  #size = 0;
  #snapshot: Snapshot | undefined;
  /** Oldest first; the last one is in force. */
  #memberships: MembershipRecord[];

  constructor(stored: StoredState) {
    const { snapshot } = stored;
    this.#snapshot = snapshot;
    this.#base = { index: snapshot?.index ?? 0, term: snapshot?.term ?? 0 };
    this.#memberships = [{
      index: this.#base.index,
      membership: snapshot?.membership ?? emptyMembership(),
    }];
    stored.entries.forEach((entry) => this.#push(entry));
  }

  /** Position before the first entry. */
  get base(): Position {
    return this.#base;
  }

  get last(): Position {
    const entry = this.#entries.at(-1);
    return entry === undefined
      ? this.#base
      : { index: entry.index, term: entry.term };
  }

  /** Number of entries in memory. */
  get length(): number {
    return this.#entries.length;
  }

  /** Size of the entries in memory, in UTF-16 code units. */
  get size(): number {
    return this.#size;
  }

  get snapshot(): Snapshot | undefined {
    return this.#snapshot;
  }

  /** The membership in force: the newest in the log, committed or not. */
  get membership(): Membership {
    return this.#memberships.at(-1)?.membership ?? emptyMembership();
  }

  /** Whether the log goes back to the start of the group and never had a second voter, which might have led. */
  get hadOneVoter(): boolean {
    return this.#base.index === 0 &&
      this.#memberships.every(({ membership }) =>
        votersOf(membership).length <= 1
      );
  }

  /** Index of the entry or snapshot that holds the membership in force. */
  get membershipIndex(): number {
    return this.#memberships.at(-1)?.index ?? 0;
  }

  /** The membership in force after the entry at an index. */
  membershipAt(index: number): Membership {
    const record = this.#memberships.findLast((known) => known.index <= index);
    return record?.membership ?? emptyMembership();
  }

  /** Term of the entry at an index, or undefined where it is compacted or missing. */
  termAt(index: number): number | undefined {
    if (index === this.#base.index) {
      return this.#base.term;
    }
    return this.#entries[index - this.#base.index - 1]?.term;
  }

  /** The entry at an index, or undefined where it is compacted or missing. */
  at(index: number): LogEntry | undefined {
    return this.#entries[index - this.#base.index - 1];
  }

  has(position: Position): boolean {
    return this.termAt(position.index) === position.term;
  }

  /** Whether a log that ends at a position is at least as up to date as this one. */
  isUpToDate(position: Position): boolean {
    const { last } = this;
    return position.term > last.term ||
      (position.term === last.term && position.index >= last.index);
  }

  /** Entries from an index on, up to a count. */
  slice(from: number, count?: number): LogEntry[] {
    const start = Math.max(0, from - this.#base.index - 1);
    const end = count === undefined ? undefined : start + Math.max(0, count);
    return this.#entries.slice(start, end);
  }

  /** Entries from an index on, at least one, up to a total size. */
  batch(from: number, maxSize: number): LogEntry[] {
    const entries: LogEntry[] = [];
    let size = 0;
    for (let i = from - this.#base.index - 1; i < this.#entries.length; i++) {
      const entry = this.#entries[i]!;
      size += sizeOf(entry);
      if (entries.length > 0 && size > maxSize) {
        break;
      }
      entries.push(entry);
    }
    return entries;
  }

  append(entry: LogEntry): void {
    this.#push(entry);
  }

  /** Removes the entries from an index on. */
  truncate(from: number): void {
    const removed = this.#entries.splice(from - this.#base.index - 1);
    for (const entry of removed) {
      this.#size -= sizeOf(entry);
    }
    while ((this.#memberships.at(-1)?.index ?? 0) >= from) {
      this.#memberships.pop();
    }
  }

  /** The last index, not after a given one, whose term is not above a given one. */
  lastWithTermAtMost(index: number, term: number): Position {
    let i = Math.min(index, this.last.index);
    while (i > this.#base.index && (this.termAt(i) ?? 0) > term) {
      i--;
    }
    return { index: i, term: this.termAt(i) ?? 0 };
  }

  /** Stores a snapshot of this log and drops the entries that it covers, except for at most `trailing` of them. */
  compact(
    snapshot: Snapshot,
    trailing: { entries: number; size: number },
  ): void {
    const index = this.#trailingBase(snapshot.index, trailing);
    const term = this.termAt(index) ?? snapshot.term;
    const removed = this.#entries.splice(0, index - this.#base.index);
    for (const entry of removed) {
      this.#size -= sizeOf(entry);
    }
    this.#snapshot = snapshot;
    this.#base = { index, term };
    this.#dropMembershipsBefore(index);
  }

  /** Index before the trailing entries that a compaction keeps. */
  #trailingBase(
    index: number,
    { entries, size }: { entries: number; size: number },
  ): number {
    const floor = Math.max(this.#base.index, index - entries);
    let kept = 0;
    let base = index;
    while (base > floor) {
      kept += sizeOf(this.#entries[base - this.#base.index - 1]!);
      if (kept > size) {
        break;
      }
      base -= 1;
    }
    return base;
  }

  /** Replaces the text of the snapshot at an index by an equal one. */
  replaceSnapshotText(index: number, data: SnapshotText): void {
    if (this.#snapshot?.index === index) {
      this.#snapshot = { ...this.#snapshot, data };
    }
  }

  /** Replaces the whole log by a snapshot. */
  install(snapshot: Snapshot): void {
    this.#snapshot = snapshot;
    this.#base = { index: snapshot.index, term: snapshot.term };
    this.#entries = [];
    this.#size = 0;
    const { index, membership } = snapshot;
    this.#memberships = [{ index, membership }];
  }

  #push(entry: LogEntry): void {
    this.#entries.push(entry);
    this.#size += sizeOf(entry);
    if (entry.kind === "membership") {
      const { index, membership } = entry;
      this.#memberships.push({ index, membership });
    }
  }

  #dropMembershipsBefore(index: number): void {
    const keep = this.#memberships.findLastIndex((m) => m.index <= index);
    this.#memberships.splice(0, Math.max(0, keep));
  }
}
