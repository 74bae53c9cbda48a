import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { JobBook, WaveRecord } from "@quetzalcove/core/scheduling";
import { book, worker } from "../../core/test/scheduling_fixture.ts";
import { Metrics } from "../src/observe/metrics.ts";
import type { VmAnswer } from "../src/scheduler/ports.ts";
import { MaintenanceController } from "../src/scheduler/maintenance_controller.ts";
import { VmDirectory } from "../src/scheduler/vm_directory.ts";
import {
  consensusOf,
  ignore,
  QUIET_LOG,
  TEST_CLOCK,
} from "./scheduler_fixture.ts";

const VM = "vm-1";
const WAVE = {
  id: 1,
  vms: [VM],
  durationMs: 20_000,
  maxDown: 1,
  startedAtMs: 0,
};
const ORDER_MS = 10;

class Scene {
  readonly jobs: JobBook = book([]);
  readonly lost: string[] = [];
  readonly maintained: string[] = [];
  readonly vms: VmDirectory;
  readonly upkeep: MaintenanceController;
  /** Whether workers that report go on answering after an order. */
  hasAnswered = true;
  answer: VmAnswer = "done";
  /** Called while an order is on its way. */
  meanwhile: () => void = ignore;

  constructor() {
    this.jobs.apply({ kind: "wave", wave: WAVE });
    const parts = {
      term: 7,
      holder: "n1",
      consensus: consensusOf(this.jobs),
      clock: TEST_CLOCK,
      log: QUIET_LOG,
      metrics: new Metrics(),
      isConfirmedLeader: () => true,
      onChange: ignore,
      removeWorker: (id: string) => {
        this.lost.push(id);
        this.jobs.apply({
          kind: "lose",
          workers: [id],
          haveEnded: true,
          atMs: Date.now(),
        });
        return Promise.resolve();
      },
      calls: {
        list: () =>
          Promise.resolve([
            { vm: VM, pool: "intake", state: "up" as const, cores: 4 },
          ]),
        move: () => Promise.resolve("done" as VmAnswer),
        maintain: async ({ vm }: { vm: string }): Promise<VmAnswer> => {
          this.meanwhile();
          await new Promise((resolve) => setTimeout(resolve, ORDER_MS));
          this.maintained.push(vm);
          return this.answer;
        },
      },
      hasAnsweredSince: () => this.hasAnswered,
      hasPendingPlacement: () => false,
      session: () => ({ isInContact: () => true }) as never,
    };
    this.vms = new VmDirectory(parts);
    this.upkeep = new MaintenanceController({ ...parts, vms: this.vms });
  }

  join(id: string): void {
    this.jobs.apply({ kind: "join", workers: [worker(id, { vm: VM })] });
  }

  /** An earlier leader noted that the upkeep is ordered. */
  noteBegun(worker: string): void {
    this.jobs.apply({
      kind: "upkeep",
      wave: WAVE.id,
      vm: VM,
      phase: "begun",
      worker,
    });
  }

  get wave(): WaveRecord | undefined {
    return this.jobs.waves.get(WAVE.id);
  }

  /** Looks for what is to be ordered, until the order is answered. */
  async order(): Promise<void> {
    await this.step();
    await this.step();
    await vi.advanceTimersByTimeAsync(ORDER_MS);
  }

  async step(): Promise<void> {
    this.vms.refresh(Date.now(), true);
    this.upkeep.reconcile(Date.now());
    await vi.advanceTimersByTimeAsync(0);
  }
}

describe("the upkeep of a VM", () => {
  let scene: Scene;

  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
    scene = new Scene();
  });

  afterEach(() => {
    scene.vms.stop();
    vi.useRealTimers();
  });

  it("ends the worker that the VM had, and keeps work away from it before", async () => {
    scene.join("w1");
    await scene.step();
    await scene.step();
    expect(scene.upkeep.isStarting(VM)).toBe(true);
    await vi.advanceTimersByTimeAsync(ORDER_MS);
    expect(scene.maintained).toEqual([VM]);
    expect(scene.lost).toEqual(["w1"]);
    expect(scene.upkeep.isStarting(VM)).toBe(false);
  });

  it("ends the next worker if that has reported before the order left, and is over with the one after", async () => {
    scene.join("w1");
    scene.vms.refresh(Date.now(), true);
    scene.upkeep.reconcile(Date.now());
    scene.join("w2");
    scene.vms.refresh(Date.now(), true);
    await vi.advanceTimersByTimeAsync(2 * ORDER_MS);
    expect(scene.maintained).toEqual([VM]);
    expect(scene.lost).toEqual(["w1", "w2"]);
    await scene.step();
    expect(scene.wave?.done).toEqual([]);
    scene.join("w3");
    await scene.step();
    expect(scene.wave?.done).toEqual([VM]);
  });

  it("that an earlier leader ordered does not end the next worker, which is back while the order is repeated", async () => {
    scene.join("w1");
    scene.noteBegun("w1");
    scene.meanwhile = () => scene.join("w2");
    await scene.order();
    expect(scene.maintained).toEqual([VM]);
    expect(scene.lost).toEqual(["w1"]);
    await scene.step();
    expect(scene.wave?.done).toEqual([VM]);
    expect(scene.jobs.workers.has("w2")).toBe(true);
  });

  it("that an earlier leader had carried out does not end the worker that reports while it is noted again", async () => {
    scene.noteBegun("w1");
    scene.vms.refresh(Date.now(), true);
    scene.upkeep.reconcile(Date.now());
    // The next worker reports between the decision and the order.
    scene.join("w2");
    scene.vms.refresh(Date.now(), true);
    await vi.advanceTimersByTimeAsync(2 * ORDER_MS);
    expect(scene.maintained).toEqual([VM]);
    expect(scene.lost).toEqual(["w1"]);
    expect(scene.jobs.workers.has("w2")).toBe(true);
  });

  it("that an earlier leader had carried out does not end the worker that has reported before the order is repeated", async () => {
    scene.noteBegun("w1");
    scene.join("w2");
    await scene.order();
    await scene.step();
    expect(scene.lost).not.toContain("w2");
    expect(scene.jobs.workers.has("w2")).toBe(true);
    expect(scene.wave?.done).toEqual([VM]);
  });

  describe("that an earlier leader noted, on a VM whose worker crashed meanwhile", () => {
    beforeEach(() => {
      scene.noteBegun("w1");
    });

    it("is ordered although another worker is there", async () => {
      scene.hasAnswered = false;
      scene.join("w2");
      await scene.order();
      expect(scene.maintained).toEqual([VM]);
      expect(scene.wave?.done).toEqual([]);
    });

    it("is not over as long as the worker that reported meanwhile does not answer", async () => {
      scene.hasAnswered = false;
      scene.meanwhile = () => scene.join("w2");
      await scene.order();
      await scene.step();
      // The order ended w2; the VM is down.
      expect(scene.wave?.done).toEqual([]);
      expect(scene.wave?.down).toHaveLength(1);
      scene.jobs.apply({
        kind: "lose",
        workers: ["w2"],
        haveEnded: true,
        atMs: Date.now(),
      });
      scene.join("w3");
      await scene.step();
      await scene.step();
      expect(scene.wave?.done).toEqual([VM]);
    });

    it("keeps its place in the wave when the repeated order is refused", async () => {
      scene.answer = "busy";
      scene.join("w2");
      await scene.order();
      expect(scene.wave?.down).toHaveLength(1);
    });
  });
});
