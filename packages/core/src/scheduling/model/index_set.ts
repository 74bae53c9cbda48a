/**
 * Sets of the indices of a step's tasks.
 *
 * @module
 */

/** What a placement needs of the indices of waiting tasks; a `Set` qualifies. Iterated in ascending order. */
export interface Indices extends Iterable<number> {
  readonly size: number;
  has(index: number): boolean;
}

/**
 * A set of indices as sorted, disjoint ranges. Its size in memory grows with the number of gaps, not with that of the
 * indices.
 */
export class IndexSet implements Indices {
  /** Start (inclusive) and end (exclusive) of each range, one after the other. */
  readonly #bounds: number[];
  #size = 0;

  /** `bounds` are the starts (inclusive) and ends (exclusive) of ascending ranges, one after the other. */
  constructor(bounds: readonly number[] = []) {
    this.#bounds = [...bounds];
    for (let i = 0; i < bounds.length; i += 2) {
      this.#size += bounds[i + 1]! - bounds[i]!;
    }
  }

  /** All indices below a count. */
  static below(count: number): IndexSet {
    return new IndexSet(count > 0 ? [0, count] : []);
  }

  get size(): number {
    return this.#size;
  }

  /** Number of ranges. */
  get ranges(): number {
    return this.#bounds.length / 2;
  }

  has(index: number): boolean {
    // Within a range, an odd number of bounds lies at or before an index.
    return this.#boundsUpTo(index) % 2 === 1;
  }

  /** Adds an index; returns whether the set lacked it. */
  add(index: number): boolean {
    const position = this.#boundsUpTo(index);
    if (position % 2 === 1) {
      return false;
    }
    const bounds = this.#bounds;
    const extendsBefore = position > 0 && bounds[position - 1] === index;
    const extendsAfter = bounds[position] === index + 1;
    if (extendsBefore && extendsAfter) {
      bounds.splice(position - 1, 2);
    } else if (extendsBefore) {
      bounds[position - 1] = index + 1;
    } else if (extendsAfter) {
      bounds[position] = index;
    } else {
      bounds.splice(position, 0, index, index + 1);
    }
    this.#size += 1;
    return true;
  }

  /** Removes an index; returns whether the set had it. */
  delete(index: number): boolean {
    const position = this.#boundsUpTo(index);
    if (position % 2 === 0) {
      return false;
    }
    const bounds = this.#bounds;
    const isFirst = bounds[position - 1] === index;
    const isLast = bounds[position] === index + 1;
    if (isFirst && isLast) {
      bounds.splice(position - 1, 2);
    } else if (isFirst) {
      bounds[position - 1] = index + 1;
    } else if (isLast) {
      bounds[position] = index;
    } else {
      bounds.splice(position, 0, index, index + 1);
    }
    this.#size -= 1;
    return true;
  }

  *[Symbol.iterator](): Iterator<number> {
    for (let i = 0; i < this.#bounds.length; i += 2) {
      const end = this.#bounds[i + 1]!;
      for (let index = this.#bounds[i]!; index < end; index++) {
        yield index;
      }
    }
  }

  /** The constructor's argument for an equal set. */
  toJSON(): number[] {
    return [...this.#bounds];
  }

  /** Number of bounds that are at most `index`. */
  #boundsUpTo(index: number): number {
    const bounds = this.#bounds;
    let low = 0;
    let high = bounds.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (bounds[middle]! <= index) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}

/** Some of other indices, computed as they are read, so that a part of a large step costs no more than what is used. */
export class IndicesPart implements Indices {
  readonly size: number;
  readonly #all: Indices;
  readonly #isIncluded: (index: number) => boolean;
  readonly #from: number;

  /** `size` of the indices that are included, after the first `from` of them. */
  constructor(
    all: Indices,
    range: { from: number; size: number },
    isIncluded: (index: number) => boolean = () => true,
  ) {
    this.#all = all;
    this.#from = range.from;
    this.size = range.size;
    this.#isIncluded = isIncluded;
  }

  has(index: number): boolean {
    if (!this.#all.has(index)) {
      return false;
    }
    for (const other of this) {
      if (other >= index) {
        return other === index;
      }
    }
    return false;
  }

  *[Symbol.iterator](): Iterator<number> {
    let position = -this.#from;
    for (const index of this.#all) {
      if (position >= this.size) {
        return;
      }
      if (this.#isIncluded(index)) {
        if (position >= 0) {
          yield index;
        }
        position += 1;
      }
    }
  }
}
