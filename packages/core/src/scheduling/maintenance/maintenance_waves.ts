/**
 * Maintenance waves of the job store and their progress.
 *
 * @module
 */
import type { JobStoreCommand, MaintenanceWave } from "../model/command.ts";

/** A maintenance wave and its progress. */
export interface WaveRecord {
  wave: MaintenanceWave;
  /** VMs whose maintenance was ordered and has not ended, each with the worker that ran on it. */
  down: {
    vm: string;
    worker: string | undefined;
    /** Birth of the worker, in Unix milliseconds. */
    bornAtMs?: number | undefined;
  }[];
  /** VMs whose maintenance has ended, or that left the fleet. */
  done: string[];
}

const NO_WAVES: ReadonlySet<number> = new Set();

export class MaintenanceWaves {
  readonly records = new Map<number, WaveRecord>();
  /** Waves for which a VM is, or may be, down. */
  readonly #takingDown = new Map<string, Set<number>>();

  /** Adds a wave; one with a known id is ignored. */
  start(wave: MaintenanceWave): void {
    if (!this.records.has(wave.id)) {
      this.restore({ wave, down: [], done: [] });
    }
  }

  restore(record: WaveRecord): void {
    this.records.set(record.wave.id, record);
    record.down.forEach(({ vm }) => this.#addDown(vm, record.wave.id));
  }

  /** Waves whose maintenance of a VM was ordered and has not ended. */
  takingDown(vm: string): ReadonlySet<number> {
    return this.#takingDown.get(vm) ?? NO_WAVES;
  }

  /** VMs whose maintenance was ordered and has not ended. */
  vmsGoingDown(): string[] {
    return [...this.#takingDown.keys()];
  }

  /** Records the progress of one VM. */
  record(
    { wave, vm, phase, worker, bornAtMs }: Extract<
      JobStoreCommand,
      { kind: "upkeep" }
    >,
  ): void {
    const record = this.records.get(wave);
    if (record === undefined || record.done.includes(vm)) {
      return;
    }
    record.down = record.down.filter((other) => other.vm !== vm);
    this.#removeDown(vm, wave);
    if (phase === "begun") {
      record.down.push({ vm, worker, bornAtMs });
      this.#addDown(vm, wave);
    } else if (phase !== "refused") {
      record.done.push(vm);
    }
  }

  #addDown(vm: string, wave: number): void {
    const waves = this.#takingDown.get(vm) ?? new Set();
    waves.add(wave);
    this.#takingDown.set(vm, waves);
  }

  #removeDown(vm: string, wave: number): void {
    const waves = this.#takingDown.get(vm);
    waves?.delete(wave);
    if (waves?.size === 0) {
      this.#takingDown.delete(vm);
    }
  }
}
