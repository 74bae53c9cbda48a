/**
 * Recovers the stored state of a replica from its segments and snapshot.
 *
 * @module
 */
import {
  Err,
  type Fault,
  type HardState,
  type LogEntry,
  Ok,
  type Result,
  type Snapshot,
} from "@quetzalcove/core";
import { storageFault } from "./files.ts";
import type { Segment, SegmentStart, SegmentWrite } from "./segment.ts";

/** The log after the replay of all segments. */
export interface RecoveredLog {
  hardState: HardState;
  entries: LogEntry[];
  /** Whether the log does not contain the snapshot's last entry, so that it must be reset before new entries. */
  detached: boolean;
}

interface Position {
  index: number;
  term: number;
}

/** Replays segments and drops the entries that the snapshot covers. */
export function recover(
  segments: readonly Segment[],
  snapshot: Snapshot | undefined,
): Result<RecoveredLog, Fault> {
  const replay = new Replay();
  for (const segment of segments) {
    const error = replay.start(segment.start) ??
      firstError(segment.writes, (write) => replay.write(write));
    if (error !== undefined) {
      return Err(storageFault(`Log segment "${segment.name}" ${error}`));
    }
  }
  if (segments.length === 0) {
    return Err(storageFault("The data folder holds no log"));
  }
  return entriesAfterSnapshot(replay, snapshot).map((entries) => ({
    hardState: replay.hardState,
    entries: entries ?? [],
    detached: entries === undefined,
  }));
}

function firstError(
  writes: readonly SegmentWrite[],
  check: (write: SegmentWrite) => string | undefined,
): string | undefined {
  for (const write of writes) {
    const error = check(write);
    if (error !== undefined) {
      return error;
    }
  }
  return undefined;
}

/** Returns the entries after the snapshot, or undefined if the log does not contain the snapshot's last entry. */
function entriesAfterSnapshot(
  { base, entries }: Replay,
  snapshot: Snapshot | undefined,
): Result<LogEntry[] | undefined, Fault> {
  const { index, term } = snapshot ?? { index: 0, term: 0 };
  if (base.index > index) {
    return Err(
      storageFault(
        `The log starts after ${base.index}, but the snapshot ends at ${index}`,
      ),
    );
  }
  if (base.index === index && base.term === term) {
    return Ok(entries);
  }
  const position = entries.findIndex((entry) => entry.index === index);
  const containsLast = entries[position]?.term === term;
  return Ok(containsLast ? entries.slice(position + 1) : undefined);
}

class Replay {
  hardState: HardState = { term: 0 };
  base: Position = { index: 0, term: 0 };
  entries: LogEntry[] = [];
  #started = false;

  /** Starts a segment; returns an error message if it does not continue the log. */
  start({ base, reset, hardState }: SegmentStart): string | undefined {
    this.hardState = hardState;
    if (!this.#started || reset) {
      this.#started = true;
      this.base = base;
      this.entries = [];
      return undefined;
    }
    const last = this.entries.at(-1) ?? this.base;
    return last.index === base.index && last.term === base.term
      ? undefined
      : `starts after ${base.index}, but the one before ends at ${last.index}`;
  }

  /** Applies one write; returns an error message if it leaves a gap. */
  write({ hardState, entries }: SegmentWrite): string | undefined {
    this.hardState = hardState ?? this.hardState;
    for (const entry of entries) {
      const offset = entry.index - this.base.index - 1;
      if (offset < 0 || offset > this.entries.length) {
        return `has a gap before entry ${entry.index}`;
      }
      this.entries.length = offset;
      this.entries.push(entry);
    }
    return undefined;
  }
}
