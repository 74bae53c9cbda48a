/**
 * A platform of VMs for tests of leadership terms: each VM runs a worker, whose long-running tasks are ready after a
 * while, and orders for VMs may get no answer or be carried out late. Time is that of fake timers.
 *
 * @module
 */
import {
  type JobStore,
  type ListedEnd,
  parseTaskName,
  type RunOutcome,
} from "@quetzalcove/core/scheduling";
import { listing, worker } from "../../core/test/scheduling_fixture.ts";
import type {
  ListedVm,
  RenewalAnswer,
  StartOrder,
  VmAnswer,
  VmClient,
  VmOrder,
  WorkerClient,
  WorkerRenewal,
} from "../src/scheduler/platform_clients.ts";

/** How the platform handles orders for VMs and reads of their list. */
export type VmApiHandling =
  | "answers"
  /** Nothing is answered or carried out. */
  | "silent"
  /** Orders get no answer and are carried out late; lists are answered. */
  | "late";

/** An order for a VM that was carried out, and the tasks that were at work there. */
export interface CarriedOutOrder {
  vm: string;
  kind: "move" | "upkeep";
  atMs: number;
  tasksAtWork: string[];
}

interface Vm {
  vm: string;
  pool: string;
  state: ListedVm["state"];
  lives: number;
  fence: number;
  /** Waves whose maintenance was carried out. */
  waves: Set<number>;
  /** Whether all that it starts fails soon. */
  isFailing: boolean;
  labels: string[];
  ends: ListedEnd[];
  endCount: number;
  /** When each task began, and its run. */
  running: Map<string, { run: number; startedAt: number }>;
}

const CALL_MS = 5;
const TIMEOUT_MS = 1_000;
const STARTUP_MS = 500;
const ABSENCE_MS = 2_000;
const LATE_MS = 6_000;
const FAILS_AFTER_MS = 20;
const TASK_MS = STARTUP_MS;
const READY_PERCENT = 100;

export class ScriptedPlatform {
  handling: VmApiHandling = "answers";
  readonly carriedOut: CarriedOutOrder[] = [];
  readonly starts: { task: string; worker: string; atMs: number }[] = [];
  readonly #jobStore: JobStore;
  readonly #vms: Vm[];

  /** All VMs are up, in the pool "intake", and their workers have joined; `labelsOf` names those of some VMs. */
  constructor(
    jobStore: JobStore,
    vms: readonly string[],
    labelsOf: Record<string, string[]> = {},
  ) {
    this.#jobStore = jobStore;
    this.#vms = vms.map((vm) => ({
      vm,
      pool: "intake",
      state: "up",
      lives: 0,
      fence: 0,
      waves: new Set(),
      isFailing: false,
      labels: labelsOf[vm] ?? ["a", "r1"],
      ends: [],
      endCount: 0,
      running: new Map(),
    }));
    this.#vms.forEach((vm) => this.#boot(vm));
  }

  /** Tasks that are at work. */
  get atWork(): string[] {
    return this.#vms.flatMap(tasksAtWork).sort();
  }

  isRunning(task: string): boolean {
    return this.#vms.some(({ running }) => running.has(task));
  }

  /** A task that runs on a VM; empty if there is none. */
  taskOn(name: string): string {
    const vm = this.#vms.find((each) => each.vm === name);
    return vm?.running.keys().next().value ?? "";
  }

  workerOn(name: string): string {
    const vm = this.#vms.find((each) => each.vm === name);
    return vm === undefined ? "" : idOf(vm);
  }

  poolOf(name: string): string | undefined {
    return this.#vms.find((each) => each.vm === name)?.pool;
  }

  /** Sets whether all that the worker of a VM starts fails soon. */
  setFailing(name: string, isFailing: boolean): void {
    const vm = this.#vms.find((each) => each.vm === name);
    if (vm !== undefined) {
      vm.isFailing = isFailing;
    }
  }

  /** Ends a task by its own fault; returns whether it ran. */
  fail(task: string): boolean {
    const vm = this.#vms.find(({ running }) => running.has(task));
    if (vm !== undefined) {
      end(vm, task, "failed");
    }
    return vm !== undefined;
  }

  /** Takes a VM away for good, with its worker. */
  remove(name: string): void {
    const index = this.#vms.findIndex((each) => each.vm === name);
    this.#vms.splice(index, 1);
  }

  readonly workers: WorkerClient = {
    start: (called, order) => this.#start(called.id, order),
    stop: async ({ id }, { task, run }) => {
      await delay(CALL_MS);
      const vm = this.#vmOf(id);
      if (vm?.running.get(task)?.run === run) {
        end(vm, task, "stopped");
      }
      return { answer: vm !== undefined, clockMs: Date.now() };
    },
    pace: () => Promise.resolve({ answer: true, clockMs: undefined }),
    renew: ({ id }, renewal) => this.#renew(id, renewal),
    disconnect: () => {},
  };

  readonly vmClient: VmClient = {
    list: async () => {
      const isSilent = this.handling === "silent";
      await delay(isSilent ? TIMEOUT_MS : CALL_MS);
      return isSilent ? undefined : {
        unnamedRecords: 0,
        vms: this.#vms.map((vm) => ({
          vm: vm.vm,
          pool: vm.pool,
          state: vm.state,
          cores: 4,
          shape: undefined,
          worker: this.#isUp(vm) ? idOf(vm) : "",
        })),
      };
    },
    move: (order, pool) =>
      this.#order(order, (vm) => {
        if (vm.pool === pool) {
          return "done";
        }
        vm.pool = pool;
        return this.#takeDown(vm, "move");
      }),
    maintain: (order, wave) =>
      this.#order(order, (vm) => {
        if (vm.waves.has(wave)) {
          return "done";
        }
        if (vm.state !== "up") {
          return "busy";
        }
        vm.waves.add(wave);
        return this.#takeDown(vm, "upkeep");
      }),
  };

  async #start(
    id: string,
    { task, run }: StartOrder,
  ): ReturnType<WorkerClient["start"]> {
    await delay(CALL_MS);
    const vm = this.#vmOf(id);
    if (vm === undefined) {
      return { answer: "other_worker", clockMs: undefined };
    }
    if (vm.running.get(task)?.run !== run) {
      vm.running.set(task, { run, startedAt: Date.now() });
      this.starts.push({ task, worker: id, atMs: Date.now() });
      const endAs = (how: RunOutcome): void => {
        if (vm.running.get(task)?.run === run) {
          end(vm, task, how);
        }
      };
      if (vm.isFailing) {
        setTimeout(() => endAs("failed"), FAILS_AFTER_MS);
      } else if (!this.#isLasting(task)) {
        setTimeout(() => endAs("done"), TASK_MS);
      }
    }
    return { answer: "started", clockMs: Date.now() };
  }

  #isLasting(task: string): boolean {
    const position = parseTaskName(task);
    return position !== undefined &&
      this.#jobStore.stepOf(position)?.lasting === true;
  }

  async #renew(
    id: string,
    { waitMs, seenEnds }: WorkerRenewal,
  ): Promise<RenewalAnswer> {
    await delay(CALL_MS + Math.min(waitMs, 100));
    const vm = this.#vmOf(id);
    return vm === undefined ? { kind: "other_worker" } : {
      kind: "listing",
      clockMs: Date.now(),
      listing: listing({
        running: Array.from(vm.running, ([task, { run, startedAt }]) => ({
          task,
          run,
          checkpoint: "",
          percent: Math.min(
            this.#isLasting(task) ? READY_PERCENT : READY_PERCENT - 1,
            Math.floor(READY_PERCENT * (Date.now() - startedAt) / STARTUP_MS),
          ),
          gauge: 0,
        })),
        ended: vm.ends.filter(({ number }) => number > seenEnds),
      }),
    };
  }

  async #order(
    { vm: name, fence }: VmOrder,
    carryOut: (vm: Vm) => VmAnswer,
  ): Promise<VmAnswer> {
    await delay(CALL_MS);
    const { handling } = this;
    const attempt = (): VmAnswer => {
      const vm = this.#vms.find((each) => each.vm === name);
      if (vm === undefined) {
        return "refused";
      }
      if (fence < vm.fence) {
        return "fenced";
      }
      vm.fence = fence;
      return carryOut(vm);
    };
    if (handling === "answers") {
      return attempt();
    }
    if (handling === "late") {
      setTimeout(attempt, LATE_MS);
    }
    await delay(TIMEOUT_MS);
    return "no_answer";
  }

  #takeDown(vm: Vm, kind: CarriedOutOrder["kind"]): VmAnswer {
    this.carriedOut.push({
      vm: vm.vm,
      kind,
      atMs: Date.now(),
      tasksAtWork: tasksAtWork(vm),
    });
    vm.running.clear();
    vm.ends = [];
    vm.endCount = 0;
    vm.state = kind === "move" ? "moving" : "upkeep";
    setTimeout(() => {
      vm.state = "up";
      this.#boot(vm);
    }, ABSENCE_MS);
    return "done";
  }

  #boot(vm: Vm): void {
    vm.lives += 1;
    // Machines of a pool in standby are off.
    if (vm.pool !== "spare") {
      const { pool } = vm;
      this.#jobStore.apply({
        kind: "join",
        workers: [
          worker(idOf(vm), {
            vm: vm.vm,
            pool,
            labels: vm.labels,
            address: `10.0.0.1:${8_000 + this.#vms.indexOf(vm)}`,
          }),
        ],
      });
    }
  }

  #isUp({ state, pool }: Vm): boolean {
    return state === "up" && pool !== "spare";
  }

  #vmOf(worker: string): Vm | undefined {
    return this.#vms.find((vm) => idOf(vm) === worker && this.#isUp(vm));
  }
}

function idOf({ vm, lives }: Vm): string {
  return `${vm}+${lives}`;
}

function end(vm: Vm, task: string, how: RunOutcome): void {
  const running = vm.running.get(task);
  if (running !== undefined) {
    vm.running.delete(task);
    vm.endCount += 1;
    const { run } = running;
    vm.ends.push({ number: vm.endCount, task, run, how, checkpoint: "" });
  }
}

function tasksAtWork({ running }: Vm): string[] {
  return [...running].flatMap(([task, { startedAt }]) =>
    Date.now() - startedAt >= STARTUP_MS ? [task] : []
  );
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
