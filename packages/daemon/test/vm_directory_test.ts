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
      onChange: ignore,
      removeWorker: (id) => {
        this.jobStore.apply({
          kind: "lose",
          workers: [id],
          haveEnded: true,
          atMs: Date.now(),
        });
        return Promise.resolve();
      },
      client: {
        list: () => Promise.resolve([this.#listedVm()]),
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
    this.#history.push({ from, vm: { vm: VM, pool, state, cores: 4 } });
  }

  #listedVm(): ListedVm {
    const shown = this.#history.filter(({ from }) => from <= Date.now()).at(-1);
    return shown?.vm ?? { vm: VM, pool: "", state: "down", cores: 0 };
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
