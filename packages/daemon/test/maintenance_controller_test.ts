import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type {
  JobStore,
  RunRecord,
  WaveRecord,
} from "@quetzalcove/core/scheduling";
import {
  newJobStore,
  place,
  run,
  spec,
  step,
  submit,
  worker,
} from "../../core/test/scheduling_fixture.ts";
import { Metrics } from "../src/observe/metrics.ts";
import type { VmAnswer } from "../src/scheduler/platform_clients.ts";
import {
  MaintenanceController,
  type MaintenanceControllerParts,
} from "../src/scheduler/maintenance_controller.ts";
import {
  VmDirectory,
  type VmDirectoryParts,
} from "../src/scheduler/vm_directory.ts";
import {
  consensusOf,
  ignore,
  notExpected,
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

/** Dependencies that do nothing of a maintenance controller and its VM directory. */
function partsOf(
  jobStore: JobStore,
):
  & Omit<MaintenanceControllerParts, "vms" | "session">
  & Omit<VmDirectoryParts, "client" | "removeWorker"> {
  return {
    term: 7,
    holder: "n1",
    consensus: consensusOf(jobStore),
    clock: TEST_CLOCK,
    log: QUIET_LOG,
    metrics: new Metrics(),
    isConfirmedLeader: () => true,
    onChange: ignore,
    wasSilent: () => false,
    lastSilenceAt: () => undefined,
    hasAnsweredSince: () => true,
    hasPendingPlacement: () => false,
    mayMove: () => false,
  };
}

class Fixture {
  readonly jobStore: JobStore = newJobStore([]);
  readonly removed: string[] = [];
  readonly maintained: string[] = [];
  /** Phases of maintenance that were proposed. */
  readonly phases: string[] = [];
  readonly vms: VmDirectory;
  readonly maintenance: MaintenanceController;
  /** Whether workers that reported still answer after an order. */
  workersAnswer = true;
  answer: VmAnswer = "done";
  /** VMs that the platform lists. */
  listed = [VM];
  /** Records of the list that name no VM. */
  unnamedRecords = 0;
  /** Called while an order is in progress. */
  duringOrder: () => void = ignore;

  constructor() {
    this.jobStore.apply({ kind: "wave", wave: WAVE });
    const committing = consensusOf(this.jobStore);
    const parts = {
      ...partsOf(this.jobStore),
      consensus: consensusOf(this.jobStore, {
        propose: (command) => {
          if (command.kind === "upkeep") {
            this.phases.push(command.phase);
          }
          return committing.propose(command);
        },
      }),
      removeWorker: (id: string) => {
        this.removed.push(id);
        this.jobStore.apply({
          kind: "lose",
          workers: [id],
          haveEnded: true,
          atMs: Date.now(),
        });
        return Promise.resolve();
      },
      client: {
        list: () =>
          Promise.resolve({
            vms: this.listed.map((vm) => ({
              vm,
              pool: "intake",
              state: "up" as const,
              cores: 4,
              shape: undefined,
              worker: undefined,
            })),
            unnamedRecords: this.unnamedRecords,
          }),
        move: () => Promise.resolve("done" as VmAnswer),
        maintain: async ({ vm }: { vm: string }): Promise<VmAnswer> => {
          this.duringOrder();
          await new Promise((resolve) => setTimeout(resolve, ORDER_MS));
          this.maintained.push(vm);
          return this.answer;
        },
      },
      hasAnsweredSince: () => this.workersAnswer,
      session: () => ({ isInContact: () => true }) as never,
    };
    this.vms = new VmDirectory(parts);
    this.maintenance = new MaintenanceController({ ...parts, vms: this.vms });
  }

  join(id: string): void {
    this.jobStore.apply({ kind: "join", workers: [worker(id, { vm: VM })] });
  }

  /** Records, as an earlier leader, that maintenance of the VM begins. */
  recordBegun(worker: string): void {
    this.jobStore.apply({
      kind: "upkeep",
      wave: WAVE.id,
      vm: VM,
      phase: "begun",
      worker,
    });
  }

  get wave(): WaveRecord | undefined {
    return this.jobStore.waves.get(WAVE.id);
  }

  /** Reconciles until an order has been sent and answered. */
  async order(): Promise<void> {
    await this.reconcile();
    await this.reconcile();
    await vi.advanceTimersByTimeAsync(ORDER_MS);
  }

  async reconcile(): Promise<void> {
    this.vms.refresh(Date.now(), true);
    this.maintenance.reconcile(Date.now());
    await vi.advanceTimersByTimeAsync(0);
  }
}

/** Workers on the VMs of a wave, each with one task of a step that allows one of them to be away. */
class EvacuationFixture {
  readonly jobStore: JobStore;
  readonly maintenance: MaintenanceController;
  readonly stopped: string[] = [];
  readonly #vms: VmDirectory;

  /** By default the wave is so short that all workers are drained at once. */
  constructor(vms: readonly string[], durationMs = 10_000) {
    this.jobStore = newJobStore([
      ...vms.map((vm) => worker(`w-${vm}`, { vm })),
      worker("free"),
    ]);
    submit(
      this.jobStore,
      "j",
      spec(step({ taskCount: vms.length, lasting: true, maxUnavailable: 1 })),
    );
    place(
      this.jobStore,
      ...vms.map((vm, i) => run(`j.0.0.${i}`, 1, `w-${vm}`)),
    );
    const wave = {
      ...WAVE,
      vms: [...vms],
      maxDown: vms.length,
      durationMs,
    };
    this.jobStore.apply({ kind: "wave", wave });
    const parts = {
      ...partsOf(this.jobStore),
      removeWorker: () => Promise.resolve(),
      client: {
        list: () => Promise.resolve({ vms: [], unnamedRecords: 0 }),
        move: notExpected,
        maintain: notExpected,
      },
      session: () =>
        ({
          isInContact: () => true,
          isReady: () => true,
          requestStop: ({ task }: RunRecord) => this.stopped.push(task),
        }) as never,
    };
    this.#vms = new VmDirectory(parts);
    this.maintenance = new MaintenanceController({ ...parts, vms: this.#vms });
  }

  async reconcile(): Promise<void> {
    this.#vms.refresh(Date.now(), true);
    await vi.advanceTimersByTimeAsync(0);
    this.maintenance.reconcile(Date.now());
  }

  /** Starts the task that was stopped last on a worker that is not in the wave. */
  startElsewhere(): void {
    const task = this.stopped.at(-1) ?? "";
    const index = Number(task.at(-1));
    const ended = run(task, 1, `w-vm-${index + 1}`);
    this.jobStore.apply({
      kind: "settle",
      ends: [{ ...ended, how: "stopped", checkpoint: "" }],
      dropped: [],
      atMs: Date.now(),
    });
    place(this.jobStore, run(task, 2, "free"));
  }
}

describe("the maintenance of a VM", () => {
  let fixture: Fixture;

  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
    fixture = new Fixture();
  });

  afterEach(() => {
    fixture.vms.stop();
    vi.useRealTimers();
  });

  it("marks the VM as starting until the order is answered, and then removes its worker", async () => {
    fixture.join("w1");
    await fixture.reconcile();
    await fixture.reconcile();
    expect(fixture.maintenance.mayGoDown(VM)).toBe(true);
    await vi.advanceTimersByTimeAsync(ORDER_MS);
    expect(fixture.maintained).toEqual([VM]);
    expect(fixture.removed).toEqual(["w1"]);
    expect(fixture.maintenance.mayGoDown(VM)).toBe(false);
  });

  it("removes a new worker that reported before the order was sent, and ends when the one after that reports", async () => {
    fixture.join("w1");
    fixture.vms.refresh(Date.now(), true);
    fixture.maintenance.reconcile(Date.now());
    fixture.join("w2");
    fixture.vms.refresh(Date.now(), true);
    await vi.advanceTimersByTimeAsync(2 * ORDER_MS);
    expect(fixture.maintained).toEqual([VM]);
    expect(fixture.removed).toEqual(["w1", "w2"]);
    await fixture.reconcile();
    expect(fixture.wave?.done).toEqual([]);
    fixture.join("w3");
    await fixture.reconcile();
    expect(fixture.wave?.done).toEqual([VM]);
  });

  it("that an earlier leader ordered does not remove a new worker that reports while the order is repeated", async () => {
    fixture.join("w1");
    fixture.recordBegun("w1");
    fixture.duringOrder = () => fixture.join("w2");
    await fixture.order();
    expect(fixture.maintained).toEqual([VM]);
    expect(fixture.removed).toEqual(["w1"]);
    await fixture.reconcile();
    expect(fixture.wave?.done).toEqual([VM]);
    expect(fixture.jobStore.workers.has("w2")).toBe(true);
  });

  it("that was carried out under an earlier leader does not remove a new worker that reports while it is recorded again", async () => {
    fixture.recordBegun("w1");
    fixture.vms.refresh(Date.now(), true);
    fixture.maintenance.reconcile(Date.now());
    // The new worker reports between the decision and the order.
    fixture.join("w2");
    fixture.vms.refresh(Date.now(), true);
    await vi.advanceTimersByTimeAsync(2 * ORDER_MS);
    expect(fixture.maintained).toEqual([VM]);
    expect(fixture.removed).toEqual(["w1"]);
    expect(fixture.jobStore.workers.has("w2")).toBe(true);
  });

  it("that was carried out under an earlier leader does not remove a new worker that reported before the order is repeated", async () => {
    fixture.recordBegun("w1");
    fixture.join("w2");
    await fixture.order();
    await fixture.reconcile();
    expect(fixture.removed).not.toContain("w2");
    expect(fixture.jobStore.workers.has("w2")).toBe(true);
    expect(fixture.wave?.done).toEqual([VM]);
  });

  it("is recorded as done once, although passes go on during the commit", async () => {
    fixture.join("w1");
    await fixture.order();
    fixture.join("w2");
    fixture.vms.refresh(Date.now(), true);
    for (let pass = 0; pass < 3; pass++) {
      fixture.maintenance.reconcile(Date.now());
    }
    await vi.advanceTimersByTimeAsync(0);
    expect(fixture.phases).toEqual(["begun", "done"]);
  });

  // A VM that was added shortly before its wave was reported as maintained, because the last list lacked it.
  it("is due although a list from before the wave lacks the VM", async () => {
    fixture.listed = [];
    fixture.vms.refresh(Date.now(), true);
    await vi.advanceTimersByTimeAsync(2_000);
    fixture.listed = [VM];
    await fixture.reconcile();
    expect(fixture.wave?.done).toEqual([]);
    await fixture.reconcile();
    fixture.join("w1");
    await fixture.order();
    expect(fixture.maintained).toEqual([VM]);
  });

  it("is left out once two lists from after the beginning of the wave lack the VM", async () => {
    fixture.listed = [];
    await fixture.reconcile();
    expect(fixture.wave?.done).toEqual([]);
    for (let list = 0; list < 2; list++) {
      await vi.advanceTimersByTimeAsync(2_000);
      await fixture.reconcile();
      expect(fixture.wave?.done).toEqual([]);
    }
    await fixture.reconcile();
    expect(fixture.wave?.done).toEqual([VM]);
  });

  // Guards against a wave that is complete without a VM whose record moved to an earlier page while the list was read.
  it("is not left out because one list lacks the VM", async () => {
    await fixture.reconcile();
    for (const listed of [[], [VM], [], [VM]]) {
      fixture.listed = listed;
      await vi.advanceTimersByTimeAsync(2_000);
      await fixture.reconcile();
      await fixture.reconcile();
    }
    expect(fixture.phases).not.toContain("gone");
  });

  // Guards against maintenance that is taken for needless because the record of its VM cannot be read.
  it("is not left out while a record of the list names no VM", async () => {
    fixture.listed = [];
    fixture.unnamedRecords = 1;
    await fixture.reconcile();
    await vi.advanceTimersByTimeAsync(2_000);
    await fixture.reconcile();
    await fixture.reconcile();
    expect(fixture.wave?.done).toEqual([]);
  });

  describe("that an earlier leader recorded, on a VM whose worker crashed since", () => {
    beforeEach(() => {
      fixture.recordBegun("w1");
    });

    it("is ordered although a new worker is on the VM", async () => {
      fixture.workersAnswer = false;
      fixture.join("w2");
      await fixture.order();
      expect(fixture.maintained).toEqual([VM]);
      expect(fixture.wave?.done).toEqual([]);
    });

    it("does not end while the worker that reported during the order does not answer", async () => {
      fixture.workersAnswer = false;
      fixture.duringOrder = () => fixture.join("w2");
      await fixture.order();
      await fixture.reconcile();
      // The order ended w2, and the VM is down.
      expect(fixture.wave?.done).toEqual([]);
      expect(fixture.wave?.down).toHaveLength(1);
      fixture.jobStore.apply({
        kind: "lose",
        workers: ["w2"],
        haveEnded: true,
        atMs: Date.now(),
      });
      fixture.join("w3");
      await fixture.reconcile();
      await fixture.reconcile();
      expect(fixture.wave?.done).toEqual([VM]);
    });

    it("keeps counting as down in the wave when the repeated order is refused", async () => {
      fixture.answer = "busy";
      fixture.join("w2");
      await fixture.order();
      expect(fixture.wave?.down).toHaveLength(1);
    });
  });

  // Guards against placement passes that search the VMs of the wave once for each worker.
  it("is known to be due without a search through the open waves", async () => {
    fixture.join("w1");
    await fixture.reconcile();
    const waves = vi.spyOn(fixture.jobStore, "waves", "get");
    const subject = worker("w1", { vm: VM });
    const other = worker("w2", { vm: "vm-2" });
    expect(fixture.maintenance.isMaintenanceDue(subject)).toBe(true);
    expect(fixture.maintenance.isMaintenanceDue(other)).toBe(false);
    expect(waves).not.toHaveBeenCalled();
    await fixture.order();
    fixture.join("w3");
    await fixture.order();
    await fixture.reconcile();
    expect(fixture.wave?.done).toEqual([VM]);
    expect(fixture.maintenance.isMaintenanceDue(subject)).toBe(false);
  });
});

describe("long-running tasks on workers that are drained", () => {
  // Guards against a step of which more tasks are away at once than it allows, and against evacuations that stop short.
  it("leave one after the other, as each is ready elsewhere", async () => {
    vi.useFakeTimers({ now: 0 });
    const fixture = new EvacuationFixture(["vm-1", "vm-2", "vm-3"]);
    const evacuated: string[][] = [];
    await fixture.reconcile();
    for (let round = 0; round < 3; round++) {
      fixture.maintenance.proceed(Date.now());
      evacuated.push([...fixture.stopped]);
      fixture.startElsewhere();
    }
    expect(evacuated).toEqual([
      ["j.0.0.0"],
      ["j.0.0.0", "j.0.0.1"],
      ["j.0.0.0", "j.0.0.1", "j.0.0.2"],
    ]);
    vi.useRealTimers();
  });
});

describe("a busy worker that is due for maintenance", () => {
  let fixture: EvacuationFixture;

  beforeEach(async () => {
    vi.useFakeTimers({ now: 0 });
    fixture = new EvacuationFixture(["vm-1"], 60_000);
    submit(fixture.jobStore, "waits", spec(step({ taskCount: 99 })));
    await fixture.reconcile();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against waves that end late: a decision often follows an arrival, whose steps wait for a moment.
  it("is drained if no step waited in its pool at some time since the last decision", async () => {
    const cancel = { kind: "cancel", atMs: 0 } as const;
    fixture.jobStore.apply({ ...cancel, ids: ["waits"] });
    fixture.maintenance.proceed(Date.now());
    submit(fixture.jobStore, "arrives", spec(step()));
    await fixture.reconcile();
    expect(fixture.stopped).toEqual(["j.0.0.0"]);
  });

  it("is not drained while steps wait in its pool all the time", async () => {
    fixture.maintenance.proceed(Date.now());
    await fixture.reconcile();
    expect(fixture.stopped).toEqual([]);
  });
});
