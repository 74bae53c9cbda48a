// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// Stand-in for a worker of the platform, as PROTOCOL.md describes it ("Running tasks", "Service discovery").
import { Agent, createServer } from "node:http";
import { call, readJson, wait } from "./calls.mjs";

/** Most ends in one answer. */
const MAX_LISTED_ENDS = 500;

export class Worker {
  /**
   * `identity` has id, machine, service, address, cpu, memMb and labels; `world` has control (addresses of the nodes for
   * heartbeats), durationMs(task), demandOf(task), onStart, onEnd, onNoted and onRefused. `fate(path, body)` decides how
   * a call is handled: "answer", "shed" (503, nothing done), "mute" (carried out, no answer) or "hang" (nothing done, no
   * answer).
   */
  constructor(identity, world) {
    this.identity = identity;
    this.world = world;
    this.fate = () => "answer";
    this.state = "ready";
    this.isUp = false;
    this.running = new Map();
    this.ended = [];
    this.highest = new Map();
    this.fence = 0;
    this.endCount = 0;
    this.endsAtLapse = 0;
    this.leaseDeadline = 0;
    this.sequence = 0;
    this.waiters = new Set();
    this.bornAt = performance.now();
    this.beatAddress = undefined;
    this.agent = new Agent({ keepAlive: true, maxSockets: 2 });
    this.server = createServer({ keepAliveTimeout: 60000 }, (req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
  }

  get clock() {
    return Math.round(performance.now() - this.bornAt) + 480000;
  }

  async start() {
    const [host, port] = (this.identity.listen ?? this.identity.address).split(
      ":",
    );
    await new Promise((resolve) =>
      this.server.listen(Number(port), host, resolve)
    );
    this.isUp = true;
    this.#beatForever();
  }

  /** Ends at once, with everything that runs. */
  async end(how = "gone") {
    if (!this.isUp) {
      return;
    }
    this.isUp = false;
    clearTimeout(this.leaseTimer);
    [...this.running.keys()].forEach((task) => this.#end(task, how));
    this.agent.destroy();
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  async #beatForever() {
    while (this.isUp) {
      this.beat();
      await wait(this.identity.beatMs ?? 1500);
    }
  }

  report() {
    const { machine, service, address, cpu, memMb, labels, zone = "zone-a" } =
      this.identity;
    this.sequence += 1;
    return {
      service,
      address,
      zone,
      version: "v1",
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      capacity: { cpu, mem_mb: memMb, gpu: 0 },
      labels,
      machine_id: machine,
      clock_ms: this.clock,
      sequence: this.sequence,
      ...(this.state === "draining" ? { remaining_ms: 2000 } : {}),
    };
  }

  /** Sends a report until a node acknowledges it; a node has a second for that. Returns whether one did. */
  async #tell(kind, body) {
    const path = `/quetzalcove/Instances.${kind}/${this.identity.id}`;
    const nodes = [
      ...(this.beatAddress === undefined ? [] : [this.beatAddress]),
      ...this.world.control(),
    ];
    for (const node of nodes) {
      const answer = await call(node, "POST", path, {
        body,
        timeoutMs: 1000,
        agent: this.agent,
      });
      if (!this.isUp) {
        return false;
      }
      if (answer.status >= 200 && answer.status < 300) {
        const named = answer.body?.heartbeat_address;
        this.beatAddress = named === undefined
          ? this.beatAddress
          : this.world.viaProxy?.(named) ?? named;
        return true;
      }
      this.beatAddress = undefined;
    }
    return false;
  }

  beat() {
    return this.#tell("Heartbeat", this.report());
  }

  deregister() {
    return this.#tell("Deregister", {});
  }

  async #serve(request, response) {
    const body = await readJson(request);
    const path = request.url.replace("/quetzalcove/", "");
    const fate = this.fate(path, body);
    if (fate === "hang" || !this.isUp) {
      return;
    }
    const reply = (status, content) => {
      if (fate !== "mute") {
        const text = JSON.stringify({ clock_ms: this.clock, ...content });
        response.writeHead(status, {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        });
        response.end(text);
      }
    };
    if (fate === "shed") {
      reply(503, {});
      return;
    }
    if (request.headers["x-expected-instance"] !== this.identity.id) {
      reply(421, {});
      return;
    }
    const fence = Number(body.fencing_token ?? 0);
    if (fence < this.fence) {
      reply(409, { reason: "fence" });
      return;
    }
    this.fence = fence;
    if (typeof body.deadline_ms === "number") {
      this.#extendLease(body.deadline_ms);
    }
    switch (path) {
      case "run-start":
        this.#start(body, reply);
        return;
      case "run-stop":
        this.#stop(body, reply);
        return;
      case "hold":
        await this.#hold(body, reply);
        return;
      case "pace":
        reply(200, {});
        return;
      default:
        reply(404, {});
    }
  }

  #extendLease(deadline) {
    const bounded = Math.min(deadline, this.clock + this.identity.maxHoldMs);
    if (bounded > this.leaseDeadline) {
      this.leaseDeadline = bounded;
      clearTimeout(this.leaseTimer);
      this.leaseTimer = setTimeout(
        () => this.#lapse(),
        bounded - this.clock,
      );
    }
  }

  #lapse() {
    [...this.running.keys()].forEach((task) => this.#end(task, "lapsed"));
    this.endsAtLapse = this.endCount;
  }

  #start(body, reply) {
    const { task, run_id: run } = body;
    if (this.running.get(task)?.run === run) {
      reply(200, {});
      return;
    }
    if (run <= (this.highest.get(task) ?? 0)) {
      reply(409, { reason: "old" });
      return;
    }
    if (this.clock >= this.leaseDeadline) {
      reply(409, { reason: "late" });
      return;
    }
    const demand = this.world.demandOf(task);
    const used = [...this.running.values()].reduce(
      (sum, other) => ({
        cpu: sum.cpu + other.demand.cpu,
        mem: sum.mem + other.demand.mem,
      }),
      { cpu: 0, mem: 0 },
    );
    const { cpu, memMb } = this.identity;
    if (used.cpu + demand.cpu > cpu || used.mem + demand.mem > memMb) {
      reply(409, { reason: "room" });
      return;
    }
    const durationMs = this.world.durationMs(task);
    this.running.set(task, {
      run,
      demand,
      durationMs,
      startedAt: performance.now(),
      timer: durationMs === Infinity
        ? undefined
        : setTimeout(() => this.#end(task, "done"), durationMs),
    });
    this.highest.set(task, run);
    this.world.onStart(task, run, this);
    reply(200, {});
  }

  #stop(body, reply) {
    const { task, run_id: run } = body;
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
    if (this.running.get(task)?.run === run) {
      this.#end(task, "stopped");
    }
    reply(200, {});
  }

  async #hold(body, reply) {
    const seen = Number(body.last_seen ?? 0);
    while (this.ended.length > 0 && this.ended[0][0] <= seen) {
      const [number, task, run, how] = this.ended.shift();
      this.world.onNoted(task, run, how, number > this.endsAtLapse, this);
    }
    if (this.ended.length === 0 && body.wait_ms > 0) {
      await this.#waitForEnd(Math.min(2000, body.wait_ms));
    }
    const now = performance.now();
    reply(200, {
      running: [...this.running].map((
        [task, { run, startedAt, durationMs, demand }],
      ) => [
        task,
        run,
        "",
        durationMs === Infinity
          ? 100
          : Math.min(99, Math.floor(100 * (now - startedAt) / durationMs)),
        demand.cpu,
      ]),
      ended: this.ended.slice(0, MAX_LISTED_ENDS),
    });
  }

  #waitForEnd(limitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, limitMs);
      this.waiters.add(wake);
    });
  }

  #end(task, how) {
    const ended = this.running.get(task);
    clearTimeout(ended.timer);
    this.running.delete(task);
    this.endCount += 1;
    this.ended.push([this.endCount, task, ended.run, how, ""]);
    this.world.onEnd(task, ended.run, how, this);
    [...this.waiters].forEach((wake) => wake());
  }
}
