// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// A stand-in of a worker, after "Running tasks" and "Service discovery" of PROTOCOL.md, `control_mode` "call".
import { createServer } from "node:http";
import { BOUNDS } from "./deployment.mjs";
import { call, readBody } from "./http.mjs";

const HEARTBEAT_MS = 1_500;
const ENDS_A_LISTING = 500;
const MAX_WAIT_MS = 2_000;

// A task that lasts is at work so long after its start.
export const STARTUP_MS = 500;

// `spec` of a job names for each of its steps how long a task takes and what it needs: {"steps":[{"ms":..,"cpu":..}]}.
export class Worker {
  constructor(
    {
      id,
      vm,
      host,
      port = 8600,
      listenHost = host,
      service,
      cpu,
      memMb,
      labels,
      record,
      deployment,
      history,
    },
  ) {
    Object.assign(this, {
      id,
      vm,
      service,
      cpu,
      memMb,
      labels,
      record,
      deployment,
      history,
    });
    this.address = `${host}:${port}`;
    this.listenHost = listenHost;
    this.port = port;
    this.startedAt = performance.now();
    this.offset = 1_000 + Math.floor(Math.random() * 1_000_000);
    this.sequence = 0;
    this.state = "ready";
    this.isCut = false;
    this.fence = 0;
    this.running = new Map();
    this.known = new Map();
    this.ended = [];
    this.endCount = 0;
    this.usedCpu = 0;
    this.usedMb = 0;
    this.waiters = new Set();
    this.deadline = 0;
    // When the last renewal of the lease came.
    this.heldAt = 0;
    // Called with each start order; a number delays it by so many milliseconds and leaves it unanswered.
    this.delayOf = () => undefined;
    // How a run ends and after which time, if not by itself: {ms, how}.
    this.outcomeOf = () => undefined;
    this.server = createServer(
      { keepAliveTimeout: 120_000 },
      (request, response) => void this.#serve(request, response),
    );
  }

  async start() {
    await new Promise((resolve) =>
      this.server.listen(this.port, this.listenHost, resolve)
    );
    this.heartbeats = setInterval(() => void this.heartbeat(), HEARTBEAT_MS);
    void this.heartbeat();
  }

  // Crashes: everything that runs on it ends.
  crash() {
    clearInterval(this.heartbeats);
    clearTimeout(this.leaseTimer);
    for (const task of [...this.running.keys()]) {
      this.#remove(task);
      this.history.ended(
        task.split(" ")[0],
        Number(task.split(" ")[1]),
        this.id,
        "crashed",
      );
    }
    this.isDown = true;
    this.server.closeAllConnections();
    return new Promise((resolve) => this.server.close(resolve));
  }

  clock() {
    return Math.floor(performance.now() - this.startedAt) + this.offset;
  }

  report() {
    this.sequence += 1;
    return {
      service: this.service,
      address: this.address,
      zone: "halle-nord",
      version: "v1",
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      capacity: { cpu: this.cpu, mem_mb: this.memMb, gpu: 0 },
      labels: this.labels,
      machine_id: this.vm,
      clock_ms: this.clock(),
      sequence: this.sequence,
    };
  }

  // One heartbeat, to one node after the other until it is acknowledged.
  async heartbeat(body = this.report()) {
    const nodes = this.deployment.controlAddresses();
    for (let i = 0; i < nodes.length && !this.isCut && !this.isDown; i++) {
      const address = this.heartbeatAddress ??
        nodes[(i + this.sequence) % nodes.length];
      const answer = await call({
        address,
        method: "POST",
        path: `/quetzalcove/Instances.Heartbeat/${this.id}`,
        body,
      });
      if (answer !== undefined && answer.status >= 200 && answer.status < 300) {
        this.heartbeatAddress = answer.body?.heartbeat_address;
        this.acknowledgedState = body.state;
        return address;
      }
      this.heartbeatAddress = undefined;
    }
    return undefined;
  }

  async #serve(request, response) {
    const body = await readBody(request);
    const path = (request.url ?? "").replace("/quetzalcove/", "");
    if (request.headers["x-expected-instance"] !== this.id) {
      this.#answer(response, 421, {});
      return;
    }
    if (body === undefined || typeof body !== "object") {
      this.#answer(response, 400, {});
      return;
    }
    const delayMs = path === "run-start" ? this.delayOf(body) : undefined;
    if (delayMs !== undefined) {
      this.record.add(this.id, "order left unanswered", {
        order: path,
        task: body.task,
        run: body.run_id,
        carriedOutInMs: delayMs,
      });
      setTimeout(() => {
        this.record.add(this.id, "late order carried out", {
          order: path,
          task: body.task,
          run: body.run_id,
          ...this.#carryOut(path, body),
        });
      }, delayMs);
      return;
    }
    if (path === "hold") {
      await this.#hold(body, response);
      return;
    }
    const { status, ...fields } = this.#carryOut(path, body);
    this.#answer(response, status, fields);
  }

  #carryOut(path, body) {
    if (this.isDown) {
      return { status: 421 };
    }
    const fence = body.fencing_token ?? 0;
    if (fence < this.fence) {
      return { status: 409, reason: "fence" };
    }
    this.fence = fence;
    switch (path) {
      case "run-start":
        return this.#start(body);
      case "run-stop":
        return this.#stop(body);
      case "pace":
        return { status: 200 };
      default:
        return { status: 404 };
    }
  }

  #extend(deadline) {
    if (typeof deadline !== "number") {
      return;
    }
    const capped = Math.min(deadline, this.clock() + BOUNDS.max_hold_ms);
    if (capped > this.deadline) {
      this.deadline = capped;
      clearTimeout(this.leaseTimer);
      this.leaseTimer = setTimeout(
        () => this.#lapse(),
        Math.max(0, capped - this.clock()),
      );
    }
  }

  #lapse() {
    if (this.clock() < this.deadline) {
      this.leaseTimer = setTimeout(() => this.#lapse(), 1);
      return;
    }
    this.history.lapsed(this.id, this.endCount);
    [...this.running.keys()].forEach((key) => this.#end(key, "lapsed"));
  }

  #start({ task, run_id: run, spec, deadline_ms: deadline }) {
    this.#extend(deadline);
    const key = `${task} ${run}`;
    if (this.running.has(key)) {
      return { status: 200 };
    }
    if (run <= (this.known.get(task) ?? 0)) {
      return { status: 409, reason: "old" };
    }
    if (this.clock() >= this.deadline) {
      return { status: 409, reason: "late" };
    }
    const step = JSON.parse(spec).steps[Number(task.split(".")[2])];
    const needs = {
      ...step,
      ms: durationOf(task, step),
      ...this.outcomeOf(task),
    };
    if (
      this.usedCpu + needs.cpu > this.cpu || this.usedMb + needs.mb > this.memMb
    ) {
      return { status: 409, reason: "room" };
    }
    this.usedCpu += needs.cpu;
    this.usedMb += needs.mb;
    const timer = needs.ms === undefined
      ? undefined
      : setTimeout(() => this.#end(key, needs.how ?? "done"), needs.ms);
    this.running.set(key, { task, run, needs, timer, at: performance.now() });
    this.history.started(task, run, this.id);
    return { status: 200 };
  }

  #stop({ task, run_id: run }) {
    this.known.set(task, Math.max(run, this.known.get(task) ?? 0));
    if (this.running.has(`${task} ${run}`)) {
      this.#end(`${task} ${run}`, "stopped");
    }
    return { status: 200 };
  }

  // Sets when the running tasks of a job end: a task takes as long as it takes, whatever was estimated.
  endIn(job, ms, how = "done") {
    for (const [key, { task, timer }] of this.running) {
      if (task.startsWith(`${job}.`)) {
        clearTimeout(timer);
        this.running.get(key).timer = setTimeout(() => this.#end(key, how), ms);
      }
    }
  }

  #remove(key) {
    const found = this.running.get(key);
    clearTimeout(found.timer);
    this.running.delete(key);
    this.usedCpu -= found.needs.cpu;
    this.usedMb -= found.needs.mb;
    return found;
  }

  #end(key, how) {
    if (!this.running.has(key)) {
      return;
    }
    const { task, run } = this.#remove(key);
    this.known.set(task, Math.max(run, this.known.get(task) ?? 0));
    this.endCount += 1;
    this.ended.push([this.endCount, task, run, how, ""]);
    this.history.ended(task, run, this.id, how);
    this.waiters.forEach((wake) => wake());
  }

  async #hold(body, response) {
    const fence = body.fencing_token ?? 0;
    if (fence < this.fence) {
      this.#answer(response, 409, { reason: "fence" });
      return;
    }
    this.fence = fence;
    this.#extend(body.deadline_ms);
    this.heldAt = performance.now();
    const seen = body.last_seen ?? 0;
    while (this.ended.length > 0 && this.ended[0][0] <= seen) {
      const [number, task, run, how] = this.ended.shift();
      this.history.noted(task, run, this.id, how, number);
    }
    const waitMs = Math.min(MAX_WAIT_MS, body.wait_ms ?? 0);
    if (waitMs > 0 && this.ended.length === 0) {
      await this.#waitForEnd(waitMs);
    }
    this.#answer(response, 200, {
      running: [...this.running.values()].map((entry) => [
        entry.task,
        entry.run,
        "",
        percentOf(entry),
        entry.needs.cpu,
      ]),
      ended: this.ended.slice(0, ENDS_A_LISTING),
    });
  }

  #waitForEnd(ms) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.waiters.add(wake);
    });
  }

  #answer(response, status, fields) {
    const text = JSON.stringify({ clock_ms: this.clock(), ...fields });
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    response.end(text);
  }
}

// Tasks of a step take `ms`, up to a share of `spread` more or less, as the name of the task decides.
function durationOf(task, { ms, spread = 0 }) {
  let hash = 0;
  for (const character of task) {
    hash = (hash * 31 + character.charCodeAt(0)) % 1_000_003;
  }
  const u = (hash * 7_919 % 1_000) / 1_000;
  return ms === undefined ? undefined : ms * (1 - spread + 2 * spread * u);
}

function percentOf({ needs: { ms }, at }) {
  const ranMs = performance.now() - at;
  return ms === undefined && ranMs >= STARTUP_MS
    ? 100
    : Math.min(99, Math.floor(100 * ranMs / (ms ?? STARTUP_MS)));
}
