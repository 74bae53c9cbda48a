/**
 * Lives of workers that have ended permanently, so that stale reports of theirs are recognized.
 *
 * @module
 */
import { evictOldest } from "../../eviction.ts";
import type { Worker } from "../model/command.ts";

/** Maximum number of ended workers kept; stale reports arrive within seconds. */
const MAX_ENDED_WORKERS = 4_096;

/** A life that has ended, as snapshots hold it: the id alone if no birth is known. */
export type EndedLife = string | { id: string; bornAtMs: number };

export class EndedWorkers {
  /** Births of the last lives that ended, oldest end first; undefined where the platform does not say. */
  readonly #births = new Map<string, number | undefined>();

  get lives(): EndedLife[] {
    return [...this.#births].map(([id, bornAtMs]) =>
      bornAtMs === undefined ? id : { id, bornAtMs }
    );
  }

  /** Whether this life of a worker has ended. A worker of which no birth was known may come back with one. */
  has({ id, bornAtMs }: Pick<Worker, "id" | "bornAtMs">): boolean {
    const endedBirth = this.#births.get(id);
    return this.#births.has(id) &&
      (bornAtMs === undefined ||
        (endedBirth !== undefined && bornAtMs <= endedBirth));
  }

  restore(life: EndedLife): void {
    if (typeof life === "string") {
      this.#births.set(life, undefined);
    } else {
      this.#births.set(life.id, life.bornAtMs);
    }
  }

  /** Records the end of a life; without a birth, the one known before stays. */
  add(id: string, bornAtMs: number | undefined): void {
    this.#births.set(id, bornAtMs ?? this.#births.get(id));
    evictOldest(this.#births, MAX_ENDED_WORKERS);
  }

  /** Forgets the ended lives of a worker that has come back. */
  delete(id: string): void {
    this.#births.delete(id);
  }
}
