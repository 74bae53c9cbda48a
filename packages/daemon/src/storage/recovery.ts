/**
 * Rebuilds what a replica had stored from its segments and snapshot.
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

/** The stored log as its segments left it. */
export interface RecoveredLog {
  hardState: HardState;
  entries: LogEntry[];
  /** Whether the stored log does not reach the snapshot, so that new entries need a new log. */
  detached: boolean;
}

interface Position {
  index: number;
  term: number;
}

/** Replays segments; the snapshot replaces the entries that it covers. */
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
  return joinSnapshot(replay, snapshot).map((entries) => ({
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

/** Returns the entries after the snapshot, or undefined if the log does not hold the snapshot's last entry. */
function joinSnapshot(
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
  const holds = entries[position]?.term === term;
  return Ok(holds ? entries.slice(position + 1) : undefined);
}

class Replay {
  hardState: HardState = { term: 0 };
  base: Position = { index: 0, term: 0 };
  entries: LogEntry[] = [];
  #started = false;

  /** Begins a segment; returns what is wrong with it, if anything. */
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

  /** Applies one write; returns what is wrong with it, if anything. */
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
