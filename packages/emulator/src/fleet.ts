/**
 * Emulated targets for every VM of an inventory.
 *
 * @module
 */
import type { Announcement, Inventory, Rules } from "@quetzalcove/core";
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
}

interface Member {
  target: Target;
  announcer: Announcer;
}

const BASE_PORT = 9_000;
const HOSTS_PER_NETWORK = 250;
const SLOTS = 8;
const CONNECTIONS = 64;

export class Fleet {
  readonly #setup: FleetSetup;
  readonly #members = new Map<string, Member[]>();

  constructor(setup: FleetSetup) {
    this.#setup = setup;
  }

  /** All targets. */
  targets(): Target[] {
    return [...this.#members.values()].flat().map((member) => member.target);
  }

  async start(): Promise<void> {
    const { vms } = this.#setup.inventory;
    await Promise.all(vms.map((_vm, index) => this.#startVm(index)));
  }

  async stop(): Promise<void> {
    const members = [...this.#members.values()].flat();
    members.forEach((member) => member.announcer.stop());
    await Promise.all(members.map((member) => member.target.stop()));
  }

  async #startVm(index: number): Promise<void> {
    const { inventory, rules, entries } = this.#setup;
    const vm = inventory.vms[index];
    const services = rules.services.filter((service) =>
      service.pool === vm?.pool
    );
    const members = services.map((service, port): Member => {
      const announcement = this.#announcementOf(index, service.name, port);
      const { usual, record } = this.#setup;
      const target = new Target({ announcement, usual, record });
      return { target, announcer: new Announcer(announcement, entries, index) };
    });
    this.#members.set(vm?.name ?? "", members);
    await Promise.all(members.map((member) => member.target.start()));
    members.forEach((member) => member.announcer.start());
  }

  #announcementOf(index: number, service: string, port: number): Announcement {
    const vm = this.#setup.inventory.vms[index]?.name ?? "";
    const third = Math.floor(index / HOSTS_PER_NETWORK);
    const fourth = (index % HOSTS_PER_NETWORK) + 1;
    return {
      target: `${vm}/${service}`,
      vm,
      service,
      address: `${this.#setup.network}.${third}.${fourth}:${BASE_PORT + port}`,
      slots: SLOTS,
      connections: CONNECTIONS,
      condition: "serving",
      incarnation: this.#setup.startedAt,
      sequence: 0,
    };
  }
}
