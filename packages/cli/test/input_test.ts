import { run } from "@quetzalcove/cli";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { COMMANDS } from "../src/commands/mod.ts";
import { parseRegister } from "../src/register.ts";
import { Session } from "./session.ts";

let session: Session;

beforeEach(() => {
  session = new Session();
});

afterEach(async () => {
  await session.close();
});

async function expectGolden(name: string): Promise<void> {
  await expect(session.transcript).toMatchFileSnapshot(`golden/${name}.txt`);
}

const HEADER = "vm,rack,zone,region,pool,cores,memory_gb,accelerators,agent";
const GOOD_LINE = "w1,r1,a,accra,intake,32,128,0,127.12.1.1:9100";

describe("an invalid asset register", () => {
  it("is rejected with file, line, column and remedy", async () => {
    const registers = {
      "empty.csv": "",
      "header.csv": "vm,rack,zone,region,pool,cores,memory_gB\n",
      "twice.csv": "vm,vm,rack,zone,region,pool,cores,memory_gb\n",
      "missing.csv": "vm,rack,zone,cores\nw1,r1,a,32\n",
      "short.csv": `${HEADER}\n${GOOD_LINE}\n\nw2,r1,a,accra\n`,
      "quote.csv": `${HEADER}\n${GOOD_LINE}\n"w2,r1\n`,
      "values.csv": `${HEADER}\n` +
        "W2,r1,a,accra,intake,many,128,0,\n" +
        "w3,r1,a,accra,,32,-1,0,entry-1\n" +
        "w4,r1,a,accra,intake,32,128,1.5,127.0.0.1\n",
      "duplicates.csv": `${HEADER}\n${GOOD_LINE}\n` +
        "w2,r1,b,accra,intake,32,128,0,\n" +
        "w3,r2,b,bern,intake,32,128,0,\n" +
        "w1,r2,b,accra,charts,32,128,0,\n",
    };
    for (const [path, text] of Object.entries(registers)) {
      session.write(path, text);
      expect(await session.run("import", path)).toBe(3);
    }
    session.write("good.csv", `${HEADER}\n${GOOD_LINE}\n`);
    expect(await session.run("import", "good.csv", "--zones", "aa")).toBe(2);
    await expectGolden("bad_register");
  });

  it("never yields an inventory with two VMs of the same name", () => {
    const name = fc.constantFrom("w1", "w2", "w3", "w4", "w5");
    fc.assert(fc.property(fc.array(name, { minLength: 1 }), (names) => {
      const lines = names.map((vm) => `${vm},r1,a,accra,intake,32,128,0,`);
      const read = parseRegister([HEADER, ...lines].join("\n"), "r.csv");
      const unique = new Set(names).size === names.length;
      expect(read.ok).toBe(unique);
      expect(read.ok ? read.val.vms.length : names.length).toBe(names.length);
    }));
  });
});

describe("invalid JSON files", () => {
  it("are rejected with file, location and remedy", async () => {
    const files = {
      "broken.json": '{\n  "vms": [\n    {"name": "w1"},\n  ]\n}\n',
      "cut.json": '{"services": [{"name": "intake"',
      "other.json": '{"hello": 1}',
      "list.json": "[]",
      "inventory.json":
        '{"zones": [], "racks": [], "pools": [], "vms": [{"name": "w1", "rak": "r1", "pool": "p", "cores": 0, "memoryGb": 1}]}',
      "rules.json":
        '{"services": [{"name": "Intake", "pool": "p", "budget": {"unservedshare": 0.1}}], "maintenance": {"windows": [{"from": "9:30", "to": "16:00"}]}}',
      "settings.json":
        '{"cluster": "accra", "entry": "e1", "zone": "a", "listen": {"service": "127.0.0.1:1", "admin": "127.0.0.1:1", "link": "localhost:3"}, "lease": {"renewEveryMs": 2000}}',
      "timing.json":
        '{"cluster": "accra", "entry": "e1", "zone": "a", "listen": {"service": "127.0.0.1:1", "admin": "127.0.0.1:1", "link": "127.0.0.1:3"}, "lease": {"renewEveryMs": 2000}}',
    };
    for (const [path, text] of Object.entries(files)) {
      session.write(path, text);
      expect(await session.run("config", "check", path)).toBe(3);
    }
    await session.run("config", "check", "nowhere.json", "rules.json");
    await session.run("apply", "--rules", "rules.json", "--admin", "a:1");
    await expectGolden("bad_json");
  });

  it("are rejected when they are inconsistent with each other", async () => {
    const inventory = {
      zones: [{ name: "a", region: "accra" }],
      racks: [{ name: "r1", zone: "a" }],
      pools: [{ name: "intake" }, { name: "charts" }],
      vms: [{ name: "w1", rack: "r1", pool: "intake", cores: 1, memoryGb: 1 }],
    };
    session.write("inventory.json", JSON.stringify(inventory));
    session.write("rules.json", services("intake", "chart"));
    session.write("unused.json", services("intake", "charts"));
    session.write("e1.json", settings("e1", { zone: "a" }));
    session.write("e2.json", settings("e2", { zone: "b" }));
    const check = (...files: string[]): Promise<number> =>
      session.run("config", "check", ...files);
    expect(await check("inventory.json", "rules.json")).toBe(3);
    expect(await check("inventory.json", "e1.json", "e2.json")).toBe(3);
    expect(await check("rules.json", "unused.json")).toBe(3);
    expect(await check("e1.json", "e1.json")).toBe(3);
    expect(await check("inventory.json", "unused.json", "e1.json")).toBe(0);
    await expectGolden("conflicting_files");
  });
});

function services(...pools: string[]): string {
  const list = pools.map((pool) => ({ name: pool, pool }));
  return JSON.stringify({ services: list });
}

function settings(entry: string, { zone }: { zone: string }): string {
  const address = `127.0.0.${entry.slice(1)}`;
  const listen = {
    service: `${address}:1`,
    admin: `${address}:2`,
    link: `${address}:3`,
  };
  const { admin, link } = listen;
  const peers = [{ entry, zone, link, admin, replica: true }];
  return JSON.stringify({
    cluster: "accra",
    entry,
    zone,
    listen,
    dataFolder: "var",
    peers,
  });
}

describe("help", () => {
  it("matches the golden file for the tool and for every command", async () => {
    await session.run("--help");
    for (const command of COMMANDS) {
      expect(await session.run(command.name, "--help")).toBe(0);
    }
    await expectGolden("help");
  });

  it("fits a terminal of 100 columns", () => {
    const lines = COMMANDS.flatMap((command) => command.details.split("\n"));
    expect(lines.filter((line) => line.length > 100)).toEqual([]);
  });
});

describe("an invalid command line", () => {
  it("is rejected with the nearest known word", async () => {
    const lines = [
      [],
      ["aply"],
      ["--json", "status"],
      ["vms", "--phse", "draining"],
      ["vms", "--pool"],
      ["vms", "--pool="],
      ["vms", "--json=yes"],
      ["vms", "--pool", "a", "--pool", "b"],
      ["drain"],
      ["drain", "a", "b"],
      ["status"],
      ["status", "--admin", "entry a"],
      ["status", "--admin", "a:1", "--timeout", "soon"],
      ["apply", "--admin", "a:1"],
      ["apply", "--admin", "a:1", "--base", "-1"],
      ["requests", "--phase", "open", "--json"],
    ];
    for (const line of lines) {
      expect(await session.run(...line)).toBe(2);
    }
    await expectGolden("usage_errors");
  });

  it("never throws, whatever the words are", async () => {
    const word = fc.oneof(
      fc.constantFrom(...COMMANDS.map((command) => command.name)),
      fc.constantFrom("--json", "--help", "--", "-", "--=", "--no-json", "-h"),
      fc.string({ maxLength: 12 }),
    );
    const runtime = {
      environment: {},
      interactive: false,
      print: () => {},
      printError: () => {},
      readText: () => Promise.reject(new Error("No file is read")),
      listFiles: () => Promise.reject(new Error("No folder is read")),
      writeText: () => Promise.reject(new Error("No file is written")),
      now: () => 0,
      sleep: () => Promise.resolve(),
      newId: () => "id",
    };
    await fc.assert(
      fc.asyncProperty(fc.array(word, { maxLength: 6 }), async (words) => {
        const offline = ["import", "config"].includes(words[0] ?? "");
        fc.pre(!offline);
        expect([0, 2]).toContain(await run(words, runtime));
      }),
      { numRuns: 500 },
    );
  });
});
