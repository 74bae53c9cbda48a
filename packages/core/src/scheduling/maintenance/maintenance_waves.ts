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

export class MaintenanceWaves {
  readonly records = new Map<number, WaveRecord>();

  /** Adds a wave; one with a known id is ignored. */
  start(wave: MaintenanceWave): void {
    if (!this.records.has(wave.id)) {
      this.restore({ wave, down: [], done: [] });
    }
  }

  restore(record: WaveRecord): void {
    this.records.set(record.wave.id, record);
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
    if (phase === "begun") {
      record.down.push({ vm, worker, bornAtMs });
    } else if (phase !== "refused") {
      record.done.push(vm);
    }
  }
}
