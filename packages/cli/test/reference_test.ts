import { readdirSync, readFileSync } from "node:fs";
import {
  FAULT_STATUS,
  type Inventory,
  Inventory as InventorySchema,
} from "@quetzalcove/core";
import { generateReference } from "@quetzalcove/cli";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Session } from "./session.ts";

const ROOT = new URL("../../../", import.meta.url);

function readFile(path: string): string {
  return readFileSync(new URL(path, ROOT), "utf8");
}

describe("the generated reference", () => {
  it.each(generateReference())(
    "$path is up to date with npm run schemas",
    ({ path, text }) => {
      expect(readFile(path)).toBe(text);
    },
  );

  it("has a description for every key", () => {
    const page = readFile("docs/CONFIGURATION.md");
    const rows = page.split("\n").filter((line) => line.startsWith("| `"));
    expect(rows.filter((row) => /\|\s+\|$/.test(row))).toEqual([]);
    expect(rows.length).toBeGreaterThan(50);
  });
});

describe("docs/PROTOCOLS.md", () => {
  it("lists every kind of fault with its status", () => {
    const rows = readFile("docs/PROTOCOLS.md")
      .matchAll(/^\| `([a-z_]+)`\s+\| (\d{3})\s+\|/gm);
    const listed = [...rows].map(([, kind, status]) => [kind, Number(status)]);
    expect(Object.fromEntries(listed)).toEqual(FAULT_STATUS);
  });

  it("names only settings that exist", () => {
    const page = readFile("docs/PROTOCOLS.md");
    const known = readFile("docs/CONFIGURATION.md");
    const named = page.matchAll(
      /`((?:listen|link|targets|ledger|lease|traces|stop|limits)\.\w+)`/g,
    );
    const unknown = [...named].filter(([quoted]) => !known.includes(quoted));
    expect(unknown).toEqual([]);
  });
});

describe.each(["accra", "bern"])("the example %s", (name) => {
  const folder = `examples/${name}`;
  let session: Session;

  beforeEach(() => {
    session = new Session();
  });

  afterEach(async () => {
    await session.close();
  });

  it("has the inventory that importing its register produces", async () => {
    await session.run("import", `${folder}/register.csv`);
    expect(session.stdout).toBe(readFile(`${folder}/inventory.json`));
  });

  it("passes config check without a warning", async () => {
    const settings = readdirSync(new URL(`${folder}/settings`, ROOT))
      .map((file) => `${folder}/settings/${file}`);
    const exit = await session.run(
      "config",
      "check",
      `${folder}/inventory.json`,
      `${folder}/rules.json`,
      ...settings,
    );
    expect(exit).toBe(0);
    expect(session.stdout).not.toContain("Warning");
    expect(settings.length).toBeGreaterThanOrEqual(6);
  });

  it("has at most one VM of a pool in each rack, and every pool in three zones", () => {
    const inventory = InventorySchema.parse(
      JSON.parse(readFile(`${folder}/inventory.json`)),
    );
    const places = inventory.vms.map((vm) => `${vm.rack}/${vm.pool}`);
    expect(new Set(places).size).toBe(places.length);
    for (const { name: pool } of inventory.pools) {
      expect(zonesOf(inventory, pool).size).toBe(3);
    }
  });
});

function zonesOf(inventory: Inventory, pool: string): Set<string | undefined> {
  const zones = new Map(inventory.racks.map((r) => [r.name, r.zone]));
  const members = inventory.vms.filter((vm) => vm.pool === pool);
  return new Set(members.map((vm) => zones.get(vm.rack)));
}
