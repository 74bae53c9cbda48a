/**
 * A versioned map that computes the changes since an earlier version, so that a copy in another process is kept up to
 * date by deltas.
 *
 * @module
 */
import { z } from "zod";

/** Changes between two versions of a map. With `from` 0 it holds the complete map and replaces the copy. */
export interface Delta<T> {
  from: number;
  to: number;
  set: Record<string, T>;
  deleted: string[];
}

/** Schema of a delta of a map with values of the given schema. */
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

/** A value, undefined if deleted, and the version of its last change. */
interface VersionedValue<T> {
  value: T | undefined;
  version: number;
}

/** Maximum number of tombstones; beyond it all are dropped, and older copies get the complete map. */
const MAX_TOMBSTONES = 4_096;

/** A map with deltas. Deleted keys remain as tombstones, so that deltas contain them. */
export class DeltaMap<T> {
  #values = new Map<string, VersionedValue<T>>();
  #version = 0;
  /** Oldest version from which a delta is complete; copies of an older version get the complete map. */
  #minDeltaVersion = 0;
  #tombstones = 0;

  get version(): number {
    return this.#version;
  }

  get(key: string): T | undefined {
    return this.#values.get(key)?.value;
  }

  *entries(): Generator<[string, T]> {
    for (const [key, versioned] of this.#values) {
      if (versioned.value !== undefined) {
        yield [key, versioned.value];
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

  /** Changes since a version; the complete map if the version is unknown or too old. */
  since(version: number): Delta<T> {
    const from = version < this.#minDeltaVersion || version > this.#version
      ? 0
      : version;
    const delta: Delta<T> = { from, to: this.#version, set: {}, deleted: [] };
    // Values are kept in the order of their last change, newest last.
    for (const [key, versioned] of [...this.#values].reverse()) {
      if (versioned.version <= from) {
        break;
      }
      if (versioned.value !== undefined) {
        delta.set[key] = versioned.value;
      } else if (from > 0) {
        delta.deleted.push(key);
      }
    }
    return delta;
  }

  /** Applies a delta to this copy. Returns false if the delta does not build on the version of the copy. */
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

  /** Sets the value of a key and moves the key to the end of the order of changes. */
  #moveToEnd(key: string, versioned: VersionedValue<T>): void {
    if (
      this.#values.get(key)?.value === undefined && this.#values.delete(key)
    ) {
      this.#tombstones = Math.max(0, this.#tombstones - 1);
    } else {
      this.#values.delete(key);
    }
    this.#values.set(key, versioned);
  }

  #dropTombstones(): void {
    for (const [key, versioned] of this.#values) {
      if (versioned.value === undefined) {
        this.#values.delete(key);
      }
    }
    this.#tombstones = 0;
    this.#minDeltaVersion = this.#version;
  }
}
