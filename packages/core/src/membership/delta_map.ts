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

interface Slot<T> {
  value: T | undefined;
  version: number;
}

/** How many deletions are remembered; a copy that is older gets the whole map. */
const MAX_TOMBSTONES = 4_096;

export class DeltaMap<T> {
  #slots = new Map<string, Slot<T>>();
  #version = 0;
  /** Differences are complete only from this version on. */
  #floor = 0;
  #tombstones = 0;

  get version(): number {
    return this.#version;
  }

  get(key: string): T | undefined {
    return this.#slots.get(key)?.value;
  }

  *entries(): Generator<[string, T]> {
    for (const [key, slot] of this.#slots) {
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
    const from = version < this.#floor || version > this.#version ? 0 : version;
    const delta: Delta<T> = { from, to: this.#version, set: {}, deleted: [] };
    // Slots are kept in order of their last change, so the newest stand at the end.
    for (const [key, slot] of [...this.#slots].reverse()) {
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
      this.#slots.clear();
      this.#tombstones = 0;
    } else if (delta.from > this.#version || delta.to < this.#version) {
      return false;
    }
    for (const [key, value] of Object.entries(delta.set)) {
      this.#replace(key, { value, version: delta.to });
    }
    for (const key of delta.deleted) {
      this.#slots.delete(key);
    }
    this.#version = delta.to;
    this.#floor = delta.to;
    return true;
  }

  #put(key: string, value: T | undefined): void {
    this.#version += 1;
    this.#replace(key, { value, version: this.#version });
  }

  #replace(key: string, slot: Slot<T>): void {
    if (this.#slots.get(key)?.value === undefined && this.#slots.delete(key)) {
      this.#tombstones = Math.max(0, this.#tombstones - 1);
    } else {
      this.#slots.delete(key);
    }
    this.#slots.set(key, slot);
  }

  #dropTombstones(): void {
    for (const [key, slot] of this.#slots) {
      if (slot.value === undefined) {
        this.#slots.delete(key);
      }
    }
    this.#tombstones = 0;
    this.#floor = this.#version;
  }
}
