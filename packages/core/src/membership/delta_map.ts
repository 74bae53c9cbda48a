/**
 * A map that can tell what changed since an earlier version of itself, so that two processes keep a copy in step by
 * sending differences.
 *
 * @module
 */
import { z } from "zod";

/** The difference between two versions of a map. `from` 0 carries the whole map and replaces the copy. */
export interface Delta<T> {
  from: number;
  to: number;
  set: Record<string, T>;
  deleted: string[];
}

/** The schema of a delta whose values have the given schema. */
export function deltaOf<T extends z.ZodType>(
  value: T,
): z.ZodType<Delta<z.output<T>>> {
  return z.object({
    from: z.number().int().nonnegative(),
    to: z.number().int().nonnegative(),
    set: z.record(z.string(), value),
    deleted: z.array(z.string()),
  }) as unknown as z.ZodType<Delta<z.output<T>>>;
}

interface VersionedValue<T> {
  value: T | undefined;
  version: number;
}

/** How many deletions are remembered; a copy that is older gets the whole map. */
const MAX_TOMBSTONES = 4_096;

export class DeltaMap<T> {
  #values = new Map<string, VersionedValue<T>>();
  #version = 0;
  /** Differences are complete only from this version on. */
  #minDeltaVersion = 0;
  #tombstones = 0;

  get version(): number {
    return this.#version;
  }

  get(key: string): T | undefined {
    return this.#values.get(key)?.value;
  }

  *entries(): Generator<[string, T]> {
    for (const [key, slot] of this.#values) {
      if (slot.value !== undefined) {
        yield [key, slot.value];
      }
    }
  }

  set(key: string, value: T): void {
    this.#put(key, value);
  }

  delete(key: string): boolean {
    if (this.get(key) === undefined) {
      return false;
    }
    this.#put(key, undefined);
    this.#tombstones += 1;
    if (this.#tombstones > MAX_TOMBSTONES) {
      this.#dropTombstones();
    }
    return true;
  }

  /** The difference from a version to the present one. */
  since(version: number): Delta<T> {
    const from = version < this.#minDeltaVersion || version > this.#version
      ? 0
      : version;
    const delta: Delta<T> = { from, to: this.#version, set: {}, deleted: [] };
    // Slots are kept in order of their last change, so the newest stand at the end.
    for (const [key, slot] of [...this.#values].reverse()) {
      if (slot.version <= from) {
        break;
      }
      if (slot.value !== undefined) {
        delta.set[key] = slot.value;
      } else if (from > 0) {
        delta.deleted.push(key);
      }
    }
    return delta;
  }

  /** Brings a copy up to date. Returns false when the delta does not continue this copy. */
  apply(delta: Delta<T>): boolean {
    if (delta.from === 0) {
      this.#values.clear();
      this.#tombstones = 0;
    } else if (delta.from > this.#version || delta.to < this.#version) {
      return false;
    }
    for (const [key, value] of Object.entries(delta.set)) {
      this.#moveToEnd(key, { value, version: delta.to });
    }
    for (const key of delta.deleted) {
      this.#values.delete(key);
    }
    this.#version = delta.to;
    this.#minDeltaVersion = delta.to;
    return true;
  }

  #put(key: string, value: T | undefined): void {
    this.#version += 1;
    this.#moveToEnd(key, { value, version: this.#version });
  }

  #moveToEnd(key: string, slot: VersionedValue<T>): void {
    if (
      this.#values.get(key)?.value === undefined && this.#values.delete(key)
    ) {
      this.#tombstones = Math.max(0, this.#tombstones - 1);
    } else {
      this.#values.delete(key);
    }
    this.#values.set(key, slot);
  }

  #dropTombstones(): void {
    for (const [key, slot] of this.#values) {
      if (slot.value === undefined) {
        this.#values.delete(key);
      }
    }
    this.#tombstones = 0;
    this.#minDeltaVersion = this.#version;
  }
}
