/**
 * The leader's target table, merged from the reports of all entries. It is soft state: a new leader rebuilds it from
 * the first renewal of each entry.
 *
 * @module
 */
import { type Announcement, supersedes } from "../announcement.ts";
import { type Delta, DeltaMap } from "./delta_map.ts";

/** Merged table with the newest known announcement of each target. */
export class TargetTable {
  readonly #reports = new Map<
    string,
    { incarnation: number; targets: DeltaMap<Announcement> }
  >();
  readonly #merged = new DeltaMap<Announcement>();

  /** Version of the merged table. */
  get version(): number {
    return this.#merged.version;
  }

  /** Applies the changes reported by an entry and returns the version of its announcements after that. */
  report(
    entry: string,
    incarnation: number,
    delta: Delta<Announcement>,
  ): number {
    const known = this.#reportOf(entry, incarnation);
    const before = delta.from === 0
      ? [...known.entries()].map(([key]) => key)
      : [];
    if (!known.apply(delta)) {
      return known.version;
    }
    this.#merge([...before, ...Object.keys(delta.set), ...delta.deleted]);
    return known.version;
  }

  /** Removes the report of an entry process whose lease has expired or was released. */
  removeReport(entry: string, incarnation: number): void {
    const known = this.#reports.get(entry);
    if (known !== undefined && known.incarnation === incarnation) {
      this.#reports.delete(entry);
      this.#merge([...known.targets.entries()].map(([key]) => key));
    }
  }

  since(version: number): Delta<Announcement> {
    return this.#merged.since(version);
  }

  targets(): Announcement[] {
    return [...this.#merged.entries()].map(([, announcement]) => announcement);
  }

  #reportOf(entry: string, incarnation: number): DeltaMap<Announcement> {
    const known = this.#reports.get(entry);
    if (known !== undefined && known.incarnation === incarnation) {
      return known.targets;
    }
    if (known !== undefined) {
      this.removeReport(entry, known.incarnation);
    }
    const targets = new DeltaMap<Announcement>();
    this.#reports.set(entry, { incarnation, targets });
    return targets;
  }

  #merge(targets: readonly string[]): void {
    for (const target of new Set(targets)) {
      const newest = this.#newest(target);
      const merged = this.#merged.get(target);
      if (newest === undefined) {
        this.#merged.delete(target);
      } else if (merged === undefined || !isSameAnnouncement(newest, merged)) {
        this.#merged.set(target, newest);
      }
    }
  }

  #newest(target: string): Announcement | undefined {
    let newest: Announcement | undefined;
    for (const { targets } of this.#reports.values()) {
      const reported = targets.get(target);
      if (
        reported !== undefined &&
        (newest === undefined || supersedes(reported, newest))
      ) {
        newest = reported;
      }
    }
    return newest;
  }
}

function isSameAnnouncement(a: Announcement, b: Announcement): boolean {
  return a.incarnation === b.incarnation && a.sequence === b.sequence;
}
