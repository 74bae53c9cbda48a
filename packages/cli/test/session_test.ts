import { emptyLedger, emptyRules, fault } from "@quetzalcove/core";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { FakeAdmin } from "./fake_admin.ts";
import { Session } from "./session.ts";

const ADMIN = ["--admin", "entry-a1:8081"] as const;
const FILES = [
  "--inventory",
  "examples/accra/inventory.json",
  "--rules",
  "examples/accra/rules.json",
] as const;

let session: Session;
let server: FakeAdmin;

beforeEach(async () => {
  session = new Session();
  server = await session.start("entry-a1:8081");
});

afterEach(async () => {
  await session.close();
});

async function expectGolden(name: string): Promise<void> {
  await expect(session.transcript).toMatchFileSnapshot(`golden/${name}.txt`);
}

function addUnknownAttempt(key: string): void {
  server.state.ledger.open[key] = {
    key,
    digest: "d",
    attempt: "entry-c1/7",
    entry: "entry-c1",
    incarnation: 1,
    service: "intake",
    phase: "unknown",
    at: session.now - 90_000,
  };
}

describe("command sequences", () => {
  it("puts a configuration made from a register in force", async () => {
    server.waiting = ["entry-b1", "entry-c1"];
    await session.run(
      "import",
      "examples/accra/register.csv",
      "--out",
      "inventory.json",
    );
    await session.run(
      "config",
      "check",
      "inventory.json",
      "examples/accra/rules.json",
      "examples/accra/settings/entry-a1.json",
    );
    await session.run("init", ...ADMIN);
    await session.run("init", ...ADMIN);
    await session.run("apply", ...FILES, "--dry-run", ...ADMIN);
    expect(server.state.version).toBe(0);
    await session.run("apply", ...FILES, "--wait", ...ADMIN);
    await session.run("apply", ...FILES, "--dry-run", ...ADMIN);
    await session.run("export", "--inventory", "now.json", ...ADMIN);
    expect(session.files.get("now.json")).toBe(
      session.files.get("inventory.json"),
    );
    await session.run("status", ...ADMIN);
    await session.run("vms", "--pool", "alerts", ...ADMIN);
    await expectGolden("initial_setup");
  });

  it("drains a VM, shows waves and resumes the VM", async () => {
    await session.run("apply", ...FILES, ...ADMIN);
    server.answers.set("GET /v1/services", {
      services: [
        service("intake", { targetsServing: 8, budgetLeft: 0.934 }),
        service("charts", { targetsServing: 6, budgetLeft: -0.02 }),
        service("alerts", { targetsServing: 6 }),
      ],
    });
    server.answers.set("GET /v1/waves", {
      waves: [{
        id: 4,
        domain: "accra-b-r2",
        canary: false,
        vms: ["acc-w18", "acc-w17"],
        startedAt: session.now - 240_000,
      }],
      holds: [
        {
          vm: "acc-w02",
          rule: "budget",
          service: "charts",
          figure: 36,
          limit: 40,
          message: "Without this VM and the worst zone 36 of 40 slots remain",
        },
        {
          domain: "accra-c-r1",
          rule: "capacity",
          service: "intake",
          figure: 40.5,
          limit: 44,
          message: "Without this rack 40.5 slots remain, 44 are needed",
        },
        { rule: "window", message: "The next window opens at 08:00 UTC" },
      ],
    });
    await session.run("drain", "acc-w07", ...ADMIN);
    await session.run("drain", "acc-w07", ...ADMIN);
    await session.run("drain", "acc-w99", ...ADMIN);
    await session.run("vms", "--phase", "draining", ...ADMIN);
    await session.run("drain", "acc-w18", "--wait", ...ADMIN);
    server.stuck = true;
    await session.run("drain", "acc-w19", "--wait", "--timeout", "5", ...ADMIN);
    await session.run("services", ...ADMIN);
    await session.run("waves", ...ADMIN);
    await session.run("waves", "--why", ...ADMIN);
    await session.run("resume", "acc-w07", "--wait", ...ADMIN);
    await session.run("watch", "--count", "2", ...ADMIN);
    await expectGolden("maintenance");
  });

  it("settles unknown requests", async () => {
    addUnknownAttempt("observer-17/night-3");
    await session.run("requests", ...ADMIN);
    await session.run("settle", "observer-17/night-3", "not", "run", ...ADMIN);
    await session.run("settle", "observer-17/night-3", "maybe", ...ADMIN);
    await session.run("settle", "observer-17/night-3", "ran", ...ADMIN);
    await session.run("settle", "observer-17/night-3", "not run", ...ADMIN);
    await session.run("requests", "--json", ...ADMIN);
    await expectGolden("requests");
  });

  it("shows replicas, jobs and traces", async () => {
    server.answers.set("GET /v1/replicas", {
      replicas: [
        replica("entry-b1", { role: "leader", matched: 410 }),
        replica("entry-a1", { role: "follower", matched: 410 }),
        replica("entry-a2", { role: "learner", matched: 12 }),
      ],
    });
    server.answers.set("POST /v1/replicas/transfer", {});
    server.answers.set("GET /v1/jobs", {
      jobs: [
        {
          id: "curve-1",
          team: "light-curves",
          pool: "photometry",
          state: "placed",
          vm: "acc-w04",
        },
        {
          id: "curve-2",
          team: "light-curves",
          state: "refused",
          reason: "No VM has 99 cores",
        },
      ],
    });
    server.answers.set("POST /v1/jobs", {
      jobs: [{ id: "curve-3", state: "waiting" }],
    });
    server.answers.set("GET /v1/traces/4bf9", {
      spans: [
        {
          span: "2",
          name: "forward",
          parent: "1",
          entry: "entry-a1",
          startMs: 1_001.5,
          durationMs: 8.25,
          attributes: { target: "acc-w01/intake", status: 200 },
        },
        {
          span: "1",
          name: "request",
          entry: "entry-a1",
          startMs: 1_000,
          durationMs: 11,
        },
      ],
    });
    session.files.set("job.json", '{"id": "curve-3"}');
    await session.run("replicas", ...ADMIN);
    await session.run("replicas", "transfer", "entry-a1", ...ADMIN);
    await session.run("replicas", "promote", "entry-c1", ...ADMIN);
    await session.run("jobs", "--team", "light-curves", ...ADMIN);
    await session.run("jobs", "submit", "job.json", ...ADMIN);
    await session.run("trace", "4bf9", ...ADMIN);
    await expectGolden("replicas_jobs_traces");
  });
});

describe("concurrent changes by two operators", () => {
  it("accepts exactly one of two changes to the same version", async () => {
    await session.run("apply", ...FILES, "--base", "0", ...ADMIN);
    await session.run("apply", ...FILES, "--base", "0", ...ADMIN);
    await session.run("apply", ...FILES, "--base", "1", ...ADMIN);
    expect(server.state.version).toBe(2);
    await expectGolden("two_operators");
  });
});

describe("a lost answer", () => {
  it("retries a change under its id, and the change is applied once", async () => {
    server.injectedFailures.set("POST /v1/configuration", [
      "drop answer",
      "invalid JSON",
    ]);
    const exit = await session.run("apply", ...FILES, ...ADMIN);
    expect(exit).toBe(0);
    expect(session.stdout).toBe("Accepted as version 1 (change change-1)\n");
    expect(server.state.version).toBe(1);
  });

  it("names the change id when every answer is lost", async () => {
    const lost = Array.from({ length: 100 }, () => "drop answer" as const);
    server.injectedFailures.set("POST /v1/configuration", lost);
    const exit = await session.run(
      "apply",
      ...FILES,
      "--timeout",
      "2",
      ...ADMIN,
    );
    expect(exit).toBe(6);
    expect(session.stderr).toContain("with --change change-1");
    expect(server.state.version).toBe(1);
  });

  it("does not retry a drain, neither at the same address nor at another", async () => {
    const other = await session.start("entry-b1:8081");
    await session.run("apply", ...FILES, ...ADMIN);
    server.injectedFailures.set("POST /v1/vms/acc-w07/drain", ["drop answer"]);
    const both = ["--admin", "entry-a1:8081,entry-b1:8081"];
    const exit = await session.run("drain", "acc-w07", ...both);
    expect(exit).toBe(6);
    expect(other.calls).toEqual([]);
    expect(server.calls.filter((call) => call.includes("drain"))).toHaveLength(
      1,
    );
    await expectGolden("drain_answer_lost");
  });
});

describe("several addresses", () => {
  it("tries the next address when a connection is refused", async () => {
    await session.run("apply", ...FILES, ...ADMIN);
    const gone = await session.start("entry-b1:8081");
    await gone.close();
    session.servers.pop();
    const both = ["--admin", "entry-b1:8081,entry-a1:8081"];
    expect(await session.run("drain", "acc-w07", ...both)).toBe(0);
    expect(server.state.vms["acc-w07"]?.phase).toBe("draining");
  });

  it("tries the next address when a daemon knows no leader and did not execute the call", async () => {
    const other = await session.start("entry-b1:8081");
    other.injectedFailures.set("POST /v1/vms/acc-w07/drain", [
      fault("no_leader", "No leader is known", { outcome: "not run" }),
    ]);
    await session.run("apply", ...FILES, ...ADMIN);
    const both = ["--admin", "entry-b1:8081,entry-a1:8081"];
    expect(await session.run("drain", "acc-w07", ...both)).toBe(0);
  });

  it("reports a failed call that may have been executed as uncertain", async () => {
    server.injectedFailures.set("POST /v1/vms/acc-w07/drain", [
      fault("timeout", "The leader did not answer", { outcome: "unknown" }),
    ]);
    expect(await session.run("drain", "acc-w07", ...ADMIN)).toBe(6);
  });

  it("stays uncertain when a later address did not execute the call", async () => {
    const other = await session.start("entry-b1:8081");
    const path = "POST /v1/configuration";
    const maybeRun = fault("timeout", "The leader did not answer");
    const notRun = fault("no_leader", "No leader is known", {
      outcome: "not run",
    });
    server.injectedFailures.set(
      path,
      Array.from({ length: 9 }, () => maybeRun),
    );
    other.injectedFailures.set(path, Array.from({ length: 9 }, () => notRun));
    const both = ["--admin", "entry-a1:8081,entry-b1:8081"];
    const line = ["apply", ...FILES, "--timeout", "2", ...both];
    expect(await session.run(...line)).toBe(6);
  });

  it("reports a time-out in the cluster as uncertain, or as refused if the call did not run", async () => {
    const cause = fault("timeout", "The leader did not answer");
    server.injectedFailures.set("POST /v1/vms/acc-w07/drain", [
      cause,
      { ...cause, outcome: "not run" },
    ]);
    expect(await session.run("drain", "acc-w07", ...ADMIN)).toBe(6);
    expect(await session.run("drain", "acc-w07", ...ADMIN)).toBe(1);
  });

  it("treats a loss of leadership as uncertain", async () => {
    server.injectedFailures.set("POST /v1/vms/acc-w07/drain", [
      fault("no_leader", "Leadership was lost before it was confirmed"),
    ]);
    expect(await session.run("drain", "acc-w07", ...ADMIN)).toBe(6);
  });
});

describe("watch", () => {
  it("writes one line of JSON per view, even while no daemon answers", async () => {
    const gone = await session.start("entry-b1:8081");
    await gone.close();
    session.servers.pop();
    server.answers.set("GET /v1/waves", { waves: [] });
    await session.run("watch", "--json", "--count", "2", ...ADMIN);
    const answered = session.stdout.trimEnd().split("\n");
    server.answers.delete("GET /v1/waves");
    await session.run("watch", "--count", "1", ...ADMIN);
    expect(session.stdout).toContain("No VMs\n\nquetzalcove: No resource GET");
    const stopped = ["--admin", "entry-b1:8081"];
    await session.run("watch", "--json", "--count", "2", ...stopped);
    const unanswered = session.stdout.trimEnd().split("\n");
    expect(answered.map((line) => Object.keys(JSON.parse(line)))).toEqual([
      ["status", "vms", "waves"],
      ["status", "vms", "waves"],
    ]);
    expect(unanswered.map((line) => JSON.parse(line).status.failure.reason))
      .toEqual(["unreachable", "unreachable"]);
  });
});

describe("drain --wait", () => {
  it("keeps waiting when calls fail temporarily", async () => {
    await session.run("apply", ...FILES, ...ADMIN);
    server.injectedFailures.set("GET /v1/vms", [
      "drop answer",
      fault("no_leader", "No leader is known"),
    ]);
    const exit = await session.run("drain", "acc-w07", "--wait", ...ADMIN);
    expect(exit).toBe(0);
  });
});

describe("apply --wait", () => {
  it("reports that the change is accepted when the wait times out", async () => {
    server.waiting = ["entry-b1", "entry-c1"];
    server.stuck = true;
    const exit = await session.run(
      "apply",
      ...FILES,
      "--wait",
      "--timeout",
      "4",
      ...ADMIN,
    );
    expect(exit).toBe(5);
    expect(session.stderr).toMatchInlineSnapshot(`
      "quetzalcove: Version 1 (change change-1) is accepted, but not in force after 4 s: waiting for entry-b1, entry-c1
        Remedy: It stays accepted; quetzalcove status shows the revision of each entry
      "
    `);
  });
});

describe("identifiers", () => {
  it("reach the system unaltered, whatever characters they contain", async () => {
    const text = fc.oneof(
      fc.constantFrom(
        "007",
        "1e5",
        "0x10",
        "true",
        "--",
        "-x",
        "a=b",
        "--json",
      ),
      fc.string({ minLength: 1, maxLength: 40 }),
    );
    await fc.assert(
      fc.asyncProperty(text, async (key) => {
        server.state.ledger = emptyLedger();
        addUnknownAttempt(key);
        const exit = await session.run(
          "settle",
          "--json",
          ...ADMIN,
          "--",
          key,
          "ran",
        );
        expect(exit).toBe(0);
        expect(server.state.ledger.closed[key]?.phase).toBe("done");
      }),
      { numRuns: 100 },
    );
  });

  it("keep leading zeros in option values", async () => {
    await session.run("apply", ...FILES, "--change", "007", ...ADMIN);
    expect(server.state.changes.map((change) => change.id)).toEqual(["007"]);
  });
});

function service(
  name: string,
  part: { targetsServing: number; budgetLeft?: number },
): unknown {
  const slots = part.targetsServing * 8;
  return { name, pool: name, slots, inFlight: 5, queued: 0, ...part };
}

function replica(
  entry: string,
  part: { role: string; matched: number },
): unknown {
  const zone = entry.replace(/entry-(.)\d/, "accra-$1");
  const caughtUp = part.role !== "learner";
  return { replica: `r-${entry}`, entry, zone, caughtUp, ...part };
}

describe("apply with rules only", () => {
  it("keeps the inventory that is in force", async () => {
    await session.run("apply", ...FILES, ...ADMIN);
    session.files.set("rules.json", JSON.stringify(emptyRules()));
    await session.run("apply", "--rules", "rules.json", ...ADMIN);
    expect(server.state.inventory.vms).toHaveLength(35);
    expect(server.state.rules.services).toEqual([]);
  });
});
