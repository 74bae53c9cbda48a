/**
 * Emulated targets for every VM of an inventory.
 *
 * @module
 */
import type { Announcement, Inventory, Rules } from "@quetzalcove/core";
import { PlatformAgent } from "./agent.ts";
import { Announcer } from "./announcer.ts";
import type { Behaviour } from "./behaviour.ts";
import { type Run, Target } from "./target.ts";

/** What an emulated fleet is built with. */
export interface FleetSetup {
  inventory: Inventory;
  rules: Rules;
  /** Service addresses of the entries. */
  entries: readonly string[];
  /** First two numbers of the targets' loopback addresses, for example `127.20`. */
  network: string;
  usual: Behaviour;
  record: (run: Run) => void;
  /** Start of the fleet in milliseconds; the incarnation of its targets. */
  startedAt: number;
  /** Port of the first service of each VM. */
  port?: number;
  /** Duration of a reboot in milliseconds. */
  rebootMs?: number;
}

interface Member {
  target: Target;
  announcer: Announcer;
}

interface Machine {
  members: Member[];
  agent: PlatformAgent | undefined;
  /** Number of starts. */
  starts: number;
}

const BASE_PORT = 9_000;
const HOSTS_PER_NETWORK = 250;
const REBOOT_MS = 500;
const SLOTS = 8;
const CONNECTIONS = 64;

export class Fleet {
  readonly #setup: FleetSetup;
  readonly #machines = new Map<string, Machine>();

  constructor(setup: FleetSetup) {
    this.#setup = setup;
  }

  /** All targets that run now. */
  targets(): Target[] {
    return [...this.#machines.values()].flatMap(({ members }) =>
      members.map((one) => one.target)
    );
  }

  /** How often a VM was rebooted by its agent. */
  rebootsOf(vm: string): number {
    return this.#machines.get(vm)?.agent?.reboots ?? 0;
  }

  async start(): Promise<void> {
    const { vms } = this.#setup.inventory;
    await Promise.all(vms.map(async ({ name, agent: address }, index) => {
      const agent = address === undefined
        ? undefined
        : new PlatformAgent({ address, reboot: () => this.reboot(name) });
      this.#machines.set(name, { members: [], agent, starts: 0 });
      await agent?.start();
      await this.#boot(name, index);
    }));
  }

  async stop(): Promise<void> {
    await Promise.all(
      [...this.#machines.values()].map(async ({ members, agent }) => {
        members.forEach((member) => member.announcer.stop());
        await Promise.all(members.map((member) => member.target.stop()));
        await agent?.stop();
      }),
    );
  }

  /** Ends the targets of a VM at once, as a failure of the VM does. */
  crash(vm: string): void {
    const machine = this.#machines.get(vm);
    machine?.members.forEach(({ target, announcer }) => {
      announcer.stop();
      target.kill();
    });
    if (machine !== undefined) {
      machine.members = [];
    }
  }

  /** Ends the targets of a VM at once and starts them again after the time of a reboot. */
  async reboot(vm: string): Promise<void> {
    this.crash(vm);
    await new Promise((resolve) =>
      setTimeout(resolve, this.#setup.rebootMs ?? REBOOT_MS)
    );
    await this.revive(vm);
  }

  /** Starts the targets of a VM that crashed. */
  revive(vm: string): Promise<void> {
    const index = this.#setup.inventory.vms.findIndex((one) => one.name === vm);
    return this.#boot(vm, index);
  }

  /** The announcers of a VM's targets. */
  announcersOf(vm: string): Announcer[] {
    return this.#machines.get(vm)?.members.map((member) => member.announcer) ??
      [];
  }

  async #boot(vm: string, index: number): Promise<void> {
    const machine = this.#machines.get(vm);
    if (machine === undefined) {
      return;
    }
    const { inventory, rules, entries, usual, record } = this.#setup;
    const pool = inventory.vms[index]?.pool;
    const services = rules.services.filter((service) => service.pool === pool);
    machine.starts += 1;
    machine.members = services.map((service, port): Member => {
      const announcement = this.#announcementOf(index, service.name, port);
      announcement.incarnation += machine.starts;
      const target = new Target({ announcement, usual, record });
      return { target, announcer: new Announcer(announcement, entries, index) };
    });
    await Promise.all(machine.members.map((member) => member.target.start()));
    machine.members.forEach((member) => member.announcer.start());
  }

  #announcementOf(index: number, service: string, port: number): Announcement {
    const vm = this.#setup.inventory.vms[index]?.name ?? "";
    const third = Math.floor(index / HOSTS_PER_NETWORK);
    const fourth = (index % HOSTS_PER_NETWORK) + 1;
    return {
      target: `${vm}/${service}`,
      vm,
      service,
      address: `${this.#setup.network}.${third}.${fourth}:${
        (this.#setup.port ?? BASE_PORT) + port
      }`,
      slots: SLOTS,
      connections: CONNECTIONS,
      condition: "serving",
      incarnation: this.#setup.startedAt,
      sequence: 0,
    };
  }
}
