/**
 * The stored state of a simulated replica, changed by the rules of the daemon's storage.
 *
 * @module
 */
import {
  type Membership,
  type RaftOutput,
  type Snapshot,
  type StoredState,
  textOf,
} from "@quetzalcove/core";

/** Term of the stored entry at an index; NaN if there is none. */
export function termAt(
  { snapshot, entries }: StoredState,
  index: number,
): number {
  const base = snapshot?.index ?? 0;
  return index === base
    ? snapshot?.term ?? 0
    : entries[index - base - 1]?.term ?? Number.NaN;
}

/** The newest stored membership. */
export function membershipOf({ snapshot, entries }: StoredState): Membership {
  const entry = entries.findLast(({ kind }) => kind === "membership");
  return entry?.kind === "membership"
    ? entry.membership
    : snapshot?.membership ?? { members: [] };
}

/** Replaces an older snapshot; keeps the entries after the new one if the log holds its last entry. */
export function adoptSnapshot(stored: StoredState, snapshot: Snapshot): void {
  if (snapshot.index <= (stored.snapshot?.index ?? 0)) {
    return;
  }
  const held = termAt(stored, snapshot.index) === snapshot.term;
  stored.entries = held
    ? stored.entries.filter(({ index }) => index > snapshot.index)
    : [];
  stored.snapshot = { ...snapshot, data: textOf(snapshot.data) };
}

/** Stores a write; its entries replace all stored ones from the index of the first on. */
export function writeTo(stored: StoredState, { write }: RaftOutput): void {
  const { installed, hardState, entries } = write;
  if (installed !== undefined) {
    stored.snapshot = { ...installed, data: textOf(installed.data) };
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
