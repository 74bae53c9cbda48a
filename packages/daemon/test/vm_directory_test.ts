import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { JobStore } from "@quetzalcove/core/scheduling";
import { newJobStore, worker } from "../../core/test/scheduling_fixture.ts";
import { Metrics } from "../src/observe/metrics.ts";
import type { ListedVm, VmAnswer } from "../src/scheduler/platform_clients.ts";
import { VmDirectory } from "../src/scheduler/vm_directory.ts";
import {
  consensusOf,
  ignore,
  QUIET_LOG,
  TEST_CLOCK,
} from "./scheduler_fixture.ts";

const VM = "vm-1";
const MOVE_MS = 1_500;
/** Time for which the platform's list shows a VM as it was. */
const LIST_LAG_MS = 200;
const REFRESH_INTERVAL_MS = 100;

/** A platform with one VM, whose list lags, and a directory that reads it. */
class Fixture {
  readonly jobStore: JobStore = newJobStore([]);
  readonly directory: VmDirectory;
  /** When contact with the VM's worker began and ended; undefined while it is in contact. */
  contactSince = -Infinity;
  silentSince: number | undefined;
  /** Losses of workers, with the times at which they were noticed. */
  readonly losses: { worker: string; kind: string; at: number }[] = [];
  /** States of the VM, and when its list begins to show them. */
  readonly #history: { from: number; vm: ListedVm }[] = [];

  constructor(pool: string) {
    this.#show(pool, "up", -Infinity);
    this.directory = new VmDirectory({
      term: 7,
      holder: "n1",
      consensus: consensusOf(this.jobStore),
      clock: TEST_CLOCK,
      log: QUIET_LOG,
      metrics: new Metrics(),
      isConfirmedLeader: () => true,
      hasAnsweredSince: () => true,
      wasSilent: (_, since, until) =>
        this.contactSince <= since && this.silentSince !== undefined &&
        this.silentSince <= until,
      lastSilenceAt: () => this.silentSince,
      onChange: ignore,
      removeWorker: (id, { kind }) => {
        this.losses.push({ worker: id, kind, at: Date.now() });
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
          Promise.resolve({ vms: [this.#listedVm()], unnamedRecords: 0 }),
        move: (_order, to) => {
          this.#show(to, "moving", Date.now() + LIST_LAG_MS);
          this.#show(to, "up", Date.now() + MOVE_MS + LIST_LAG_MS);
          return Promise.resolve<VmAnswer>("done");
        },
        maintain: () => {
          const pool = this.#listedVm().pool;
          this.#show(pool, "upkeep", Date.now() + LIST_LAG_MS);
          this.#show(pool, "up", Date.now() + MOVE_MS + LIST_LAG_MS);
          return Promise.resolve<VmAnswer>("done");
        },
      },
    });
  }

  #show(pool: string, state: ListedVm["state"], from: number): void {
    this.show({ pool, state }, from);
  }

  /** Changes what the list shows of the VM from a time on. */
  show(changes: Partial<ListedVm>, from: number): void {
    const vm = {
      vm: VM,
      pool: "intake",
      state: "up",
      cores: 4,
      shape: undefined,
      worker: undefined,
      ...changes,
    } as const;
    this.#history.push({ from, vm });
  }

  /** Refreshes the directory for some time. */
  async refreshFor(durationMs: number): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += REFRESH_INTERVAL_MS) {
      this.directory.refresh(Date.now(), false);
      await vi.advanceTimersByTimeAsync(REFRESH_INTERVAL_MS);
    }
  }

  #listedVm(): ListedVm {
    const shown = this.#history.filter(({ from }) => from <= Date.now()).at(-1);
    return shown?.vm ??
      {
        vm: VM,
        pool: "",
        state: "down",
        cores: 0,
        shape: undefined,
        worker: undefined,
      };
  }

  /** Orders an action, and returns the time in milliseconds for which the VM is absent; Infinity if over 10 s. */
  async absenceMs(
    action: Parameters<VmDirectory["order"]>[1],
  ): Promise<number> {
    const pool = action.kind === "move" ? action.pool : "spare";
    const workers = this.directory.workersOn(VM);
    await this.directory.order(VM, action, { pool, cores: 4, workers });
    const orderedAt = Date.now();
    while (this.directory.isAbsent(VM)) {
      if (Date.now() - orderedAt > 10_000) {
        return Infinity;
      }
      await vi.advanceTimersByTimeAsync(REFRESH_INTERVAL_MS);
      this.directory.refresh(Date.now(), false);
      await vi.advanceTimersByTimeAsync(0);
    }
    return Date.now() - orderedAt;
  }
}

describe("a VM that is ordered away", () => {
  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it("to standby is available again with the first list that shows it there", async () => {
    const fixture = new Fixture("intake");
    fixture.jobStore.apply({
      kind: "join",
      workers: [worker("w1", { vm: VM })],
    });
    const absenceMs = await fixture.absenceMs({ kind: "move", pool: "spare" });
    expect(absenceMs).toBeGreaterThan(MOVE_MS + LIST_LAG_MS);
    expect(absenceMs).toBeLessThan(MOVE_MS + LIST_LAG_MS + 1_000);
  });

  it("from standby is not taken for returned while the list shows it there as before", async () => {
    const fixture = new Fixture("spare");
    expect(await fixture.absenceMs({ kind: "move", pool: "intake" }))
      .toBe(Infinity);
  });

  it("for maintenance in standby is not taken for returned while the list shows it as before", async () => {
    const fixture = new Fixture("spare");
    const absenceMs = await fixture.absenceMs({ kind: "upkeep", wave: 1 });
    expect(absenceMs).toBeGreaterThan(MOVE_MS + LIST_LAG_MS);
  });
});

describe("a VM whose worker comes back under its id", () => {
  // Guards against a VM that counts as away for ever since its worker kept its id.
  it("is back, and the new life is not removed with the earlier one", async () => {
    vi.useFakeTimers({ now: 0 });
    const fixture = new Fixture("intake");
    const join = (bornAtMs: number): void => {
      const workers = [worker("w1", { vm: VM, bornAtMs })];
      fixture.jobStore.apply({ kind: "join", workers });
    };
    join(5);
    const workers = fixture.directory.workersOn(VM);
    const action = { kind: "upkeep", wave: 1 } as const;
    const absence = { pool: "intake", cores: 4, workers };
    await fixture.directory.order(VM, action, absence);
    expect(fixture.directory.isAbsent(VM)).toBe(true);
    join(6);
    await fixture.refreshFor(200);
    expect(fixture.directory.isAbsent(VM)).toBe(false);
    expect(fixture.jobStore.workers.has("w1")).toBe(true);
    vi.useRealTimers();
  });
});

describe("a worker that does not answer any more", () => {
  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** A worker that falls silent at second 5, and what the list shows of its VM from then on. */
  async function silentWorker(changes: Partial<ListedVm>): Promise<Fixture> {
    const fixture = new Fixture("intake");
    fixture.jobStore.apply({
      kind: "join",
      workers: [worker("w1", { vm: VM })],
    });
    fixture.show({ worker: "w1" }, -Infinity);
    fixture.show(changes, 5_000);
    await fixture.refreshFor(5_000);
    fixture.silentSince = Date.now();
    return fixture;
  }

  // Guards against runs of a crashed worker that wait until its next incarnation answers.
  it("is lost with the first list that shows its VM down", async () => {
    const fixture = await silentWorker({ state: "down", worker: "" });
    await fixture.refreshFor(400);
    expect(fixture.losses.map(({ worker: id, kind }) => [id, kind]))
      .toEqual([["w1", "crashed"]]);
    expect(fixture.losses[0]?.at).toBeLessThan(5_300);
  });

  it("is lost if the list shows another worker on its VM", async () => {
    const fixture = await silentWorker({ worker: "w2" });
    await fixture.refreshFor(400);
    expect(fixture.losses.map(({ kind }) => kind)).toEqual(["crashed"]);
  });

  it("is not taken for crashed if its VM is being moved", async () => {
    const fixture = await silentWorker({ state: "moving", worker: "" });
    await fixture.refreshFor(400);
    expect(fixture.losses.map(({ kind }) => kind)).toEqual(["ordered"]);
  });

  it("is kept if the list shows it on its VM, or does not name workers", async () => {
    for (const id of ["w1", undefined]) {
      const fixture = await silentWorker({ worker: id });
      await fixture.refreshFor(5_000);
      expect(fixture.losses).toEqual([]);
      vi.setSystemTime(0);
    }
  });

  it("is kept if it answers again before the list arrives", async () => {
    const fixture = await silentWorker({ state: "down", worker: "" });
    fixture.silentSince = undefined;
    await fixture.refreshFor(5_000);
    expect(fixture.losses).toEqual([]);
  });

  it("is kept while the list may not show it yet", async () => {
    const fixture = await silentWorker({ state: "down", worker: "" });
    fixture.contactSince = 4_900;
    await fixture.refreshFor(400);
    expect(fixture.losses).toEqual([]);
    await fixture.refreshFor(1_000);
    expect(fixture.losses).toHaveLength(1);
  });
});
