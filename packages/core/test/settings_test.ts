import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  Inventory,
  lineAndColumn,
  parseJson,
  parseSettings,
  Rules,
} from "../src/mod.ts";

const MINIMUM = {
  cluster: "accra",
  entry: "entry-a1",
  zone: "accra-a",
  listen: {
    service: "127.10.1.1:8080",
    admin: "127.10.1.1:8081",
    link: "127.10.1.1:8082",
  },
  dataFolder: "var",
};

const PEER = {
  entry: "entry-b1",
  zone: "accra-b",
  link: "127.10.2.1:8082",
  admin: "127.10.2.1:8081",
};

function findingsOf(change: object): string[] {
  const text = JSON.stringify({ ...MINIMUM, ...change });
  const parsed = parseSettings(text, "entry.json");
  return parsed.ok
    ? []
    : (parsed.val.causes ?? []).map((c) => `${c.path}: ${c.message}`);
}

function largeConfiguration(): object {
  const list = <T>(length: number, make: (index: number) => T): T[] =>
    Array.from({ length }, (_, index) => make(index));
  const inventory = {
    zones: list(6, (i) => ({ name: `zone-${i}`, region: `region-${i % 2}` })),
    racks: list(375, (i) => ({ name: `rack-${i}`, zone: `zone-${i % 6}` })),
    pools: list(21, (i) => ({ name: `pool-${i}` })),
    vms: list(1_500, (i) => ({
      name: `worker-${i}`,
      rack: `rack-${i % 375}`,
      pool: `pool-${i % 21}`,
      cores: 64,
      memoryGb: 256,
      accelerators: 2,
      agent: `10.20.${i >> 8}.${i & 255}:9100`,
    })),
  };
  const rules = {
    services: list(21, (i) => ({ name: `service-${i}`, pool: `pool-${i}` })),
    teams: list(330, (i) => ({ name: `team-${i}`, cores: 64, memoryGb: 256 })),
  };
  return {
    change: "c",
    base: 0,
    inventory: Inventory.parse(inventory),
    rules: Rules.parse(rules),
  };
}

describe("settings", () => {
  it("have a default for everything but names and addresses", () => {
    const parsed = parseSettings(JSON.stringify(MINIMUM), "entry.json");
    expect(parsed.val).toMatchSnapshot();
  });

  it("refuse an interval of more than half of its deadline", () => {
    expect([
      ...findingsOf({ lease: { renewEveryMs: 1_501 } }),
      ...findingsOf({ raft: { heartbeatMs: 0 } }),
      ...findingsOf({ link: { idleMs: 999 } }),
      ...findingsOf({ targets: { expireMs: 1_999 } }),
      ...findingsOf({ lease: { driftMarginMs: 0 } }),
    ]).toMatchInlineSnapshot(`
      [
        "lease.renewEveryMs: 1501 must be above 0 and at most half of lease.durationMs (3000)",
        "raft.heartbeatMs: 0 must be above 0 and at most half of raft.electionMinMs (600)",
        "link.heartbeatMs: 700 must be above 0 and at most half of link.idleMs (999)",
        "targets.announceEveryMs: 1000 must be above 0 and at most half of targets.expireMs (1999)",
        "lease.driftMarginMs: must be above 0",
      ]
    `);
    expect(findingsOf({ lease: { renewEveryMs: 1_500 } })).toEqual([]);
  });

  it("refuse limits whose payload does not fit into one message", () => {
    expect([
      ...findingsOf({ link: { maxQueuedBytes: 4_194_303 } }),
      ...findingsOf({ limits: { maxAdminBytes: 4_194_304 } }),
      ...findingsOf({ ledger: { maxStoredAnswerBytes: 4_194_304 } }),
    ]).toMatchInlineSnapshot(`
      [
        "link.maxMessageBytes: needs link.maxQueuedBytes to be at least 4194304, but it is 4194303",
        "limits.maxAdminBytes: needs link.maxMessageBytes to be at least 8392704, but it is 4194304",
        "ledger.maxStoredAnswerBytes: needs link.maxMessageBytes to be at least 8392704, but it is 4194304",
      ]
    `);
  });

  it("have default limits that fit a configuration of 1,500 VMs and 330 teams", () => {
    const parsed = parseSettings(JSON.stringify(MINIMUM), "entry.json");
    const { limits, link } = parsed.unwrap();
    const command = JSON.stringify(largeConfiguration());
    const message = JSON.stringify({ entries: [command] });
    expect(command.length).toBeLessThan(limits.maxAdminBytes);
    expect(message.length).toBeLessThan(link.maxMessageBytes);
  });

  it("refuse an address or an entry that is used twice", () => {
    expect([
      ...findingsOf({ peers: [PEER, PEER] }),
      ...findingsOf({ peers: [{ ...PEER, link: "127.10.1.1:8080" }] }),
      ...findingsOf({ peers: [{ ...PEER, entry: "entry-a1" }] }),
    ]).toMatchInlineSnapshot(`
      [
        "peers[1].entry: "entry-b1" is listed twice, first at peers[0]; remove one",
        "peers[0].link: 127.10.1.1:8080 is in use by listen.service",
        "peers[0].zone: "accra-b" is not this daemon's own zone ("accra-a")",
        "peers[0].link: "127.10.2.1:8082" is not this daemon's own listen.link ("127.10.1.1:8082")",
        "peers[0].admin: "127.10.2.1:8081" is not this daemon's own listen.admin ("127.10.1.1:8081")",
      ]
    `);
  });

  it("refuse a replica or a single process without a data folder", () => {
    const own = {
      ...PEER,
      ...MINIMUM.listen,
      entry: "entry-a1",
      zone: "accra-a",
    };
    const { service: _service, ...peer } = own;
    const replica = { ...peer, replica: true };
    expect([
      ...findingsOf({ dataFolder: undefined }),
      ...findingsOf({ dataFolder: undefined, peers: [replica, PEER] }),
    ]).toMatchInlineSnapshot(`
      [
        "dataFolder: is required for a single process, which has no peers",
        "dataFolder: is required, because peers[0].replica is true",
      ]
    `);
    const entryOnly = { dataFolder: undefined, peers: [peer, PEER] };
    expect(findingsOf(entryOnly)).toEqual([]);
  });

  it("suggest the nearest known key at every depth", () => {
    expect([
      ...findingsOf({ lese: {} }),
      ...findingsOf({ lease: { durationms: 1 } }),
      ...findingsOf({ peers: [{ ...PEER, replicas: true }] }),
      ...findingsOf({ stop: { xylophone: 1 } }),
    ]).toMatchInlineSnapshot(`
      [
        "lese: unknown key "lese"; did you mean "lease"?",
        "lease.durationms: unknown key "durationms"; did you mean "durationMs"?",
        "peers[0].replicas: unknown key "replicas"; did you mean "replica"?",
        "stop.xylophone: unknown key "xylophone"",
      ]
    `);
  });

  it("refuse an address that is not an IP address and a port", () => {
    const addresses = ["localhost:1", "127.0.0.256:1", "127.0.0.1:65536", "1"];
    for (const service of addresses) {
      const listen = { ...MINIMUM.listen, service };
      expect(findingsOf({ listen })).toHaveLength(1);
    }
    const listen = { ...MINIMUM.listen, service: "[::1]:8080" };
    expect(findingsOf({ listen })).toEqual([]);
  });
});

describe("broken JSON", () => {
  /** A character that is invalid both inside and outside of strings. */
  const FORBIDDEN = "\u0001";

  it("is reported at the line and column of the first error", () => {
    fc.assert(
      fc.property(fc.json(), fc.nat(), (json, seed) => {
        const text = JSON.stringify(JSON.parse(json), null, 2);
        const offset = seed % (text.length + 1);
        // Inside an escape sequence the parser reports the start of the sequence.
        fc.pre(!/\\u?[0-9a-f]{0,3}$/.test(text.slice(0, offset)));
        const broken = text.slice(0, offset) + FORBIDDEN + text.slice(offset);
        const parsed = parseJson(broken, "f.json");
        const { line, column } = lineAndColumn(text, offset);
        expect(parsed.err && parsed.val.path).toBe(`f.json:${line}:${column}`);
      }),
    );
  });

  it("is reported at the end when the text is cut off", () => {
    const parsed = parseJson('{\n  "a": [1,', "f.json");
    expect(parsed.val).toMatchInlineSnapshot(`
      {
        "kind": "invalid",
        "message": "f.json:2:11: broken JSON: Unexpected end of JSON input",
        "path": "f.json:2:11",
        "remedy": "Correct the text at this line and column",
      }
    `);
  });
});
