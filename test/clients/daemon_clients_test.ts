import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callAdmin, eventually } from "@quetzalcove/emulator";
import { Settings } from "@quetzalcove/core";
import { ClusterFixture } from "../harness/cluster_fixture.ts";
import {
  chunk,
  playCrowd,
  requestHead,
  type Script,
} from "../harness/crowd.ts";
import { peakMemoryBytes, watchDescriptors } from "../harness/process_usage.ts";
import { call } from "../harness/services.ts";

/** Heap and machine of the process under test. */
const NODE_OPTIONS = ["--max-old-space-size=64"];
const MACHINE_BYTES = 256_000_000;
const MAX_CONNECTIONS = 500;

/** Descriptors of a daemon beside the connections of its callers: files, links, targets and agents. */
const OTHER_DESCRIPTORS = 150;

const CROWD_MS = 5_000;
const ANSWER_TIMEOUT_MS = 30_000;

const CHUNKED = { "transfer-encoding": "chunked" };

const DEFAULTS = Settings.parse({
  cluster: "test",
  entry: "e1",
  zone: "zone-a",
  listen: { service: "[::1]:1", admin: "[::1]:2", link: "[::1]:3" },
});

/** A kind of client: its name, the number of its connections, and what it sends. */
type Kind = [name: string, connections: number, script: Script];

function serviceRequest(
  method: string,
  headers: Record<string, string | number> = {},
): string {
  return requestHead({ method, path: "/unknown/x", host: "a", headers });
}

function adminRequest(
  method: string,
  path: string,
  headers: Record<string, string | number> = {},
): string {
  return requestHead({ method, path, host: "a", headers });
}

function ahead(connections: number, name: string, head: string): Kind {
  return [name, connections, { head: "", piece: Buffer.from(head) }];
}

const SERVICE_KINDS: Kind[] = [
  ["send a body in chunks of 1 byte without end", 60, {
    head: serviceRequest("POST", CHUNKED),
    piece: chunk(1),
  }],
  ["send much of a body in large chunks and stop before its end", 60, {
    head: serviceRequest("POST", CHUNKED),
    piece: chunk(65_536),
    pieces: 240,
  }],
  ["stop short of a declared length", 60, {
    head: serviceRequest("POST", { "content-length": 16_000_000 }),
    piece: Buffer.alloc(65_536, "x"),
    pieces: 240,
  }],
  ["send a chunked body far over the limit", 60, {
    head: serviceRequest("POST", CHUNKED),
    piece: chunk(65_536),
  }],
  ["send a body without end with GET", 60, {
    head: serviceRequest("GET", CHUNKED),
    piece: chunk(65_536),
  }],
  ["send half a header", 400, {
    head: serviceRequest("POST", { "x-filler": "x".repeat(15_000) })
      .slice(0, -2),
  }],
  ahead(60, "send GET requests ahead", serviceRequest("GET")),
  ahead(
    60,
    "send small submissions ahead",
    `${serviceRequest("POST", { "content-length": 2 })}{}`,
  ),
  ahead(
    60,
    "send requests ahead without Host",
    requestHead({ method: "GET", path: "/unknown/x" }),
  ),
];

const ADMIN_KINDS: Kind[] = [
  ahead(60, "send requests ahead", adminRequest("GET", "/v1/vms")),
  ahead(
    60,
    "send requests for the metrics ahead",
    adminRequest("GET", "/metrics"),
  ),
  ["send a body in chunks of 1 byte and stop before its end", 60, {
    head: adminRequest("POST", "/v1/configuration", CHUNKED),
    piece: chunk(1),
    pieces: 60_000,
  }],
  ["stop short of a declared length", 300, {
    head: adminRequest("POST", "/v1/configuration", {
      "content-length": 1_000_000,
    }) + "x".repeat(999_900),
  }],
];

const LINK_KINDS: Kind[] = [
  ["send a message in single bytes and stop before its end", 60, {
    head: `{"jsonrpc":"2.0","method":"`,
    piece: Buffer.from("x"),
    pieces: 4_000_000,
  }],
  [
    "send calls ahead",
    60,
    {
      head: "",
      piece: Buffer.from(
        `{"jsonrpc":"2.0","id":1,"method":"read","params":{"what":"vms"}}\n`,
      ),
    },
  ],
];

describe("a daemon beside clients that", () => {
  const fixture = new ClusterFixture({
    entries: 1,
    replicas: 1,
    vms: 2,
    nodeOptions: NODE_OPTIONS,
    settings: {
      limits: { ...DEFAULTS.limits, maxConnections: MAX_CONNECTIONS },
    },
  });
  const { cluster } = fixture;
  let requests = 0;

  const isServed = async (): Promise<boolean> => {
    requests += 1;
    const answer = await call({
      entry: cluster.service("e1"),
      service: "intake",
      path: `/ordinary/${requests}`,
    });
    return answer?.status === 200;
  };
  const isRead = async (): Promise<boolean> =>
    (await callAdmin(cluster.admin("e1"), "/v1/vms"))?.status === 200;

  const expectSurvival = async (
    address: string,
    [, connections, script]: Kind,
    isAnswered: () => Promise<boolean>,
  ): Promise<void> => {
    await cluster.kill("e1");
    cluster.startDaemon("e1");
    expect(await eventually(isServed, ANSWER_TIMEOUT_MS)).toBe(true);
    const pid = cluster.pid("e1") ?? 0;
    const peakDescriptors = watchDescriptors(pid);
    await playCrowd({ address, connections, script, durationMs: CROWD_MS });
    const isAnsweredAfterwards = await eventually(
      isAnswered,
      ANSWER_TIMEOUT_MS,
    );
    const descriptors = peakDescriptors();
    expect({ isAnsweredAfterwards }).toEqual({ isAnsweredAfterwards: true });
    expect(peakMemoryBytes(pid) ?? Infinity).toBeLessThan(MACHINE_BYTES);
    expect(descriptors).toBeLessThan(MAX_CONNECTIONS + OTHER_DESCRIPTORS);
  };

  beforeAll(() => fixture.start());
  afterAll(() => fixture.stop());

  it.each(SERVICE_KINDS)(
    "%s at the service address, %i connections",
    (...kind) => expectSurvival(cluster.service("e1"), kind, isServed),
  );

  it.each(ADMIN_KINDS)(
    "%s at the administration address, %i connections",
    (...kind) => expectSurvival(cluster.admin("e1"), kind, isRead),
  );

  it.each(LINK_KINDS)(
    "%s at the link address, %i connections",
    (...kind) => expectSurvival(cluster.link("e1"), kind, isServed),
  );
});
