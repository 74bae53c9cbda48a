/**
 * An emulated fleet: the targets of every VM of an inventory, and platform agents for the VMs that have one.
 *
 * @module
 */
import type { Announcement, Inventory, Rules } from "@quetzalcove/core";
import { PlatformAgent } from "./platform_agent.ts";
import { Announcer } from "./announcer.ts";
import type { Behaviour } from "./behaviour.ts";
import { type Run, Target } from "./target.ts";

/** Options of an emulated fleet. */
export interface FleetOptions {
  inventory: Inventory;
  rules: Rules;
  /** Service addresses of the entries. */
  entries: readonly string[];
  /** First two octets of the targets' loopback addresses, for example `127.20`. */
  network: string;
  defaultBehaviour: Behaviour;
  record: (run: Run) => void;
  /** Start time of the fleet in milliseconds; the base of the incarnations of its targets. */
  startedAt: number;
  /** Port of the first service of each VM; further services get the next ports. */
  port?: number;
  /** Duration of a reboot in milliseconds. */
  rebootMs?: number;
}

interface RunningTarget {
  target: Target;
  announcer: Announcer;
}

interface EmulatedVm {
  targets: RunningTarget[];
  agent: PlatformAgent | undefined;
  /** Number of starts of the targets; each start has a higher incarnation. */
  startCount: number;
}

const BASE_PORT = 9_000;
/** VMs with the same third octet; the fourth octet counts from 1. */
const VMS_PER_THIRD_OCTET = 250;
const DEFAULT_REBOOT_MS = 500;
const SLOTS_PER_TARGET = 8;
const CONNECTIONS_PER_TARGET = 64;

export class Fleet {
  readonly #options: FleetOptions;
  readonly #vms = new Map<string, EmulatedVm>();

  constructor(options: FleetOptions) {
    this.#options = options;
  }

  /** All running targets. */
  targets(): Target[] {
    return [...this.#vms.values()].flatMap(({ targets }) =>
      targets.map((one) => one.target)
    );
  }

  /** Number of reboots of a VM by its agent. */
  rebootsOf(vm: string): number {
    return this.#vms.get(vm)?.agent?.reboots ?? 0;
  }

  async start(): Promise<void> {
    const { vms } = this.#options.inventory;
    await Promise.all(vms.map(async ({ name, agent: address }, index) => {
      const agent = address === undefined
        ? undefined
        : new PlatformAgent({ address, reboot: () => this.reboot(name) });
      this.#vms.set(name, { targets: [], agent, startCount: 0 });
      await agent?.start();
      await this.#startTargets(name, index);
    }));
  }

  async stop(): Promise<void> {
    await Promise.all(
      [...this.#vms.values()].map(async ({ targets, agent }) => {
        targets.forEach((each) => each.announcer.stop());
        await Promise.all(targets.map((each) => each.target.stop()));
        await agent?.stop();
      }),
    );
  }

  /** Kills the targets of a VM, as a failure of the VM does. */
  crash(vm: string): void {
    const emulatedVm = this.#vms.get(vm);
    emulatedVm?.targets.forEach(({ target, announcer }) => {
      announcer.stop();
      target.kill();
    });
    if (emulatedVm !== undefined) {
      emulatedVm.targets = [];
    }
  }

  /** Kills the targets of a VM and restarts them after the duration of a reboot. */
  async reboot(vm: string): Promise<void> {
    this.crash(vm);
    await new Promise((resolve) =>
      setTimeout(resolve, this.#options.rebootMs ?? DEFAULT_REBOOT_MS)
    );
    await this.restart(vm);
  }

  /** Restarts the targets of a VM that crashed. */
  restart(vm: string): Promise<void> {
    const index = this.#options.inventory.vms.findIndex((one) =>
      one.name === vm
    );
    return this.#startTargets(vm, index);
  }

  /** The announcers of a VM's targets. */
  announcersOf(vm: string): Announcer[] {
    return this.#vms.get(vm)?.targets.map((each) => each.announcer) ??
      [];
  }

  async #startTargets(vm: string, index: number): Promise<void> {
    const emulatedVm = this.#vms.get(vm);
    if (emulatedVm === undefined) {
      return;
    }
    const { inventory, rules, entries, defaultBehaviour, record } =
      this.#options;
    const pool = inventory.vms[index]?.pool;
    const services = rules.services.filter((service) => service.pool === pool);
    emulatedVm.startCount += 1;
    emulatedVm.targets = services.map((service, port): RunningTarget => {
      const announcement = this.#announcementOf(index, service.name, port);
      announcement.incarnation += emulatedVm.startCount;
      const target = new Target({
        announcement,
        defaultBehaviour,
        record,
      });
      return { target, announcer: new Announcer(announcement, entries, index) };
    });
    await Promise.all(
      emulatedVm.targets.map((each) => each.target.start()),
    );
    emulatedVm.targets.forEach((each) => each.announcer.start());
  }

  #announcementOf(index: number, service: string, port: number): Announcement {
    const vm = this.#options.inventory.vms[index]?.name ?? "";
    const thirdOctet = Math.floor(index / VMS_PER_THIRD_OCTET);
    const fourthOctet = (index % VMS_PER_THIRD_OCTET) + 1;
    return {
      target: `${vm}/${service}`,
      vm,
      service,
      address: `${this.#options.network}.${thirdOctet}.${fourthOctet}:${
        (this.#options.port ?? BASE_PORT) + port
      }`,
      slots: SLOTS_PER_TARGET,
      connections: CONNECTIONS_PER_TARGET,
      condition: "serving",
      incarnation: this.#options.startedAt,
      sequence: 0,
    };
  }
}
