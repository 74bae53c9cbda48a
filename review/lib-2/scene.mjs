// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// A small deployment with its stand-ins, for one case.
import { Cloud } from "./cloud.mjs";
import { configuration, Deployment, freePrefix } from "./deployment.mjs";
import { Record, temporaryFolder, wait } from "./files.mjs";
import { History } from "./history.mjs";
import { Proxy } from "./proxy.mjs";
import { Worker } from "./worker.mjs";

export const HAS_TROUBLE = process.env.TROUBLE !== "0";

// A script ends within 120 s.
const LIMIT_MS = 105_000;

// Runs a case: `play` gets the scene, and returns 0, 1 or 2.
export async function runCase(url, options, play) {
  const record = new Record(new URL("record.txt", url).pathname);
  const { folder, remove } = temporaryFolder();
  const scene = new Scene(await freePrefix(), folder, record, options);
  let code = 2;
  try {
    code = await Promise.race([
      scene.start().then((hasStarted) => hasStarted ? play(scene) : 2),
      wait(LIMIT_MS).then(() => {
        record.add("script", "not done in time");
        return 2;
      }),
    ]);
  } catch (error) {
    record.add("script", "failed", { reason: String(error?.stack ?? error) });
  }
  await scene.stop();
  record.add("script", "exit", { code, trouble: HAS_TROUBLE });
  record.flush();
  if (process.env.KEEP === undefined) {
    remove();
  } else {
    process.stdout.write(`${folder}\n`);
  }
  process.exit(code);
}

// `workers` gives the fields of each worker, whose machine is m-1, m-2 and so on.
export class Scene {
  constructor(prefix, folder, record, options) {
    const { services = ["einreichung"], workers, isRecorded, order, settleMs } =
      options;
    Object.assign(this, {
      prefix,
      record,
      services,
      settleMs: settleMs ?? 3_000,
    });
    this.history = new History(record, isRecorded);
    this.cloud = new Cloud({
      host: `${prefix}.3.1`,
      record,
      machines: () =>
        this.machines.filter(({ lives }) => lives > 0).map((machine) =>
          listed(machine)
        ),
      order: order === undefined
        ? undefined
        : (kind, body) => order(this, kind, body),
    });
    this.deployment = new Deployment({
      prefix,
      folder,
      record,
      cloud: this.cloud.address,
    });
    this.machines = workers.map((fields, i) => ({
      vm: `m-${i + 1}`,
      number: i + 1,
      state: "up",
      lives: 0,
      service: services[0],
      cpu: 64_000,
      memMb: 262_144,
      labels: ["a", `r1-${1 + Math.floor(i / 4)}`],
      ...fields,
    }));
  }

  get workers() {
    return this.machines.flatMap(({ worker }) => worker ?? []);
  }

  async start() {
    const { deployment, cloud, services } = this;
    await cloud.start();
    deployment.start();
    for (const machine of this.machines) {
      const host = `${this.prefix}.4.${machine.number}`;
      machine.proxy = new Proxy(
        host,
        `${this.prefix}.5.${machine.number}`,
        8600,
      );
      await machine.proxy.start();
      if (machine.isLater !== true) {
        await this.boot(machine);
      }
    }
    const isConfigured = await deployment.configure(configuration(7, services));
    await wait(this.settleMs);
    return isConfigured;
  }

  // Starts a new worker on a machine.
  async boot(machine) {
    const { record, deployment, history } = this;
    machine.lives += 1;
    machine.state = "up";
    machine.worker = new Worker({
      ...machine,
      id: `i-${machine.number}-${machine.lives}`,
      host: `${this.prefix}.4.${machine.number}`,
      listenHost: `${this.prefix}.5.${machine.number}`,
      record,
      deployment,
      history,
    });
    await machine.worker.start();
  }

  // Cuts a worker off from all machines, or joins it again.
  cut(machine, isCut) {
    this.record.add(machine.worker.id, isCut ? "cut off" : "joined again");
    machine.worker.isCut = isCut;
    if (isCut) {
      machine.proxy.cut();
    } else {
      machine.proxy.heal();
    }
  }

  async stop() {
    await this.deployment.stop();
    for (const { worker, proxy } of this.machines) {
      if (worker !== undefined && !worker.isDown) {
        await worker.crash();
      }
      proxy?.stop();
    }
    this.cloud.stop();
  }
}

function listed({ vm, service, state, labels, cpu, memMb, worker }) {
  return {
    machine_id: vm,
    pool: service,
    state,
    zone: "halle-nord",
    labels,
    capacity: { cpu, mem_mb: memMb, gpu: 0 },
    id: worker === undefined || worker.isDown ? "" : worker.id,
  };
}
