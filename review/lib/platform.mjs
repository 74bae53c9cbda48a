// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// Stand-in for the platform's list of machines and its moves and upkeeps (PROTOCOL.md, "Machines").
import { createServer } from "node:http";
import { readJson, wait } from "./calls.mjs";

export class Platform {
  /** `boot(machine)` starts a worker on a machine and returns it. */
  constructor(address, boot, { migrationMs = 1500, upkeepMs = 2000 } = {}) {
    this.address = address;
    this.boot = boot;
    this.migrationMs = migrationMs;
    this.upkeepMs = upkeepMs;
    this.machines = new Map();
    this.standby = new Set();
    this.server = createServer((request, response) =>
      void this.#serve(request, response)
    );
  }

  async start() {
    const [host, port] = this.address.split(":");
    await new Promise((resolve) =>
      this.server.listen(Number(port), host, resolve)
    );
  }

  async stop() {
    this.isStopped = true;
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
    await Promise.all(
      [...this.machines.values()].map(({ worker }) => worker?.end()),
    );
  }

  /** Adds a machine with fields id, pool, address, cpu, memMb and labels. */
  async add(machine) {
    const record = {
      ...machine,
      state: "up",
      fence: 0,
      lives: 0,
      upkeeps: new Set(),
    };
    this.machines.set(machine.id, record);
    await this.#up(record);
    return record;
  }

  async #up(record) {
    record.state = "up";
    if (!this.standby.has(record.pool)) {
      record.lives += 1;
      record.worker = await this.boot(record);
    }
  }

  async #serve(request, response) {
    const reply = (status, body) => {
      const text = JSON.stringify(body);
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      });
      response.end(text);
    };
    if (request.method === "GET") {
      reply(200, {
        machines: [...this.machines.values()].map((machine) => ({
          machine_id: machine.id,
          pool: machine.pool,
          state: machine.state,
          zone: "zone-a",
          labels: machine.labels,
          capacity: { cpu: machine.cpu, mem_mb: machine.memMb, gpu: 0 },
          ...(machine.worker?.isUp ? { id: machine.worker.identity.id } : {}),
        })),
      });
      return;
    }
    const body = await readJson(request);
    const record = this.machines.get(body.machine_id);
    const fence = Number(request.headers["x-fencing-token"] ?? 0);
    const isUpkeep = request.url.endsWith("machine-upkeep");
    if (record === undefined) {
      reply(400, {});
      return;
    }
    if (fence < record.fence) {
      reply(409, { reason: "fence" });
      return;
    }
    record.fence = fence;
    const isDone = isUpkeep
      ? record.upkeeps.has(body.wave)
      : record.pool === body.pool;
    if (isDone) {
      reply(200, {});
      return;
    }
    if (record.state !== "up" || record.worker?.state === "draining") {
      reply(409, { reason: "busy" });
      return;
    }
    record.state = isUpkeep ? "upkeep" : "moving";
    if (isUpkeep) {
      record.upkeeps.add(body.wave);
    } else {
      record.pool = body.pool;
    }
    const { worker } = record;
    record.worker = undefined;
    await worker?.end("ordered");
    reply(200, {});
    await wait(isUpkeep ? this.upkeepMs : this.migrationMs);
    if (!this.isStopped) {
      await this.#up(record);
    }
  }
}
