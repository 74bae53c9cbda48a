import { connect, createServer, type Socket } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callAdmin } from "@quetzalcove/emulator";
import {
  Connection,
  type Handlers,
} from "../packages/daemon/src/link/connection.ts";
import { ClusterFixture } from "./harness/cluster_fixture.ts";

/** Requirement: a silent connection is detected within this time. */
const MAX_DETECTION_MS = 3_000;
/** Deadline of a call to the leader through the administration API, plus 20% for a busy machine. */
const MAX_CALL_MS = 5_000 * 1.2;

describe("links between daemons", () => {
  const fixture = new ClusterFixture({ entries: 4, replicas: 3, vms: 4 });
  const { cluster } = fixture;

  beforeAll(() => fixture.start());
  afterAll(() => fixture.stop());

  /** Wall-clock times of the link events of a daemon with a peer, from `since` on. */
  const events = (
    name: string,
    { event, peer, since }: { event: string; peer: string; since: number },
  ): number[] =>
    cluster.log(name).split("\n")
      .filter((line) => line.includes(`event=${event} peer=${peer}`))
      .map((line) => Date.parse(/time=(\S+)/.exec(line)?.[1] ?? ""))
      .filter((time) => time >= since);

  it("are replaced when their connections drop all bytes while new ones work", async () => {
    const pairs = cluster.names.flatMap((from) =>
      cluster.names.filter((to) => to !== from).map((to) => ({ from, to }))
    );
    const since = Date.now();
    pairs.forEach(({ from, to }) =>
      cluster.relay(from, to).dropPresentConnections()
    );
    await cluster.waitFor(
      "new links",
      () =>
        pairs.every(({ from, to }) =>
          events(from, { event: "link.open", peer: to, since }).length > 0
        ),
    );
    const detectionTimes = pairs.map(({ from, to }) =>
      Math.min(...events(from, { event: "link.closed", peer: to, since })) -
      since
    );
    expect(Math.max(...detectionTimes)).toBeLessThan(MAX_DETECTION_MS);
    await fixture.waitUntilServing(cluster.names);
  });

  it("end every call at its deadline while all daemons are partitioned", async () => {
    const leader = await cluster.leader();
    const names = [leader, cluster.names.find((name) => name !== leader) ?? ""];
    cluster.names.flatMap((name) => cluster.relaysOf(name))
      .forEach((relay) => relay.dropBytes());
    const calls = names.flatMap((name) =>
      [
        "/v1/status",
        "/v1/vms",
        "/v1/requests",
        "/v1/replicas",
      ].map((path) => ({ name, path }))
    );
    // A leader may answer reads from its lease for part of an election timeout.
    await cluster.waitFor("the end of the lease of the leader", async () => {
      return (await callAdmin(cluster.admin(leader), "/v1/status"))?.status !==
        200;
    });
    const startedAt = performance.now();
    const answers = await Promise.all(calls.map(async ({ name, path }) => {
      const answer = await callAdmin(cluster.admin(name), path);
      return { status: answer?.status, tookMs: performance.now() - startedAt };
    }));
    expect(answers.map((one) => one.status).filter((status) => status === 200))
      .toEqual([]);
    expect(Math.max(...answers.map((one) => one.tookMs))).toBeLessThan(
      MAX_CALL_MS,
    );
    const deadlineMs = 800;
    const sentAt = performance.now();
    const keyedAnswers = await Promise.all(
      names.map((name) =>
        fixture.send(name, {
          service: "intake",
          path: "/dark",
          key: `dark-${name}`,
          deadlineMs,
        })
      ),
    );
    expect(keyedAnswers.every((one) => one !== undefined && one.status >= 500))
      .toBe(
        true,
      );
    expect(performance.now() - sentAt).toBeLessThan(MAX_DETECTION_MS);
    cluster.names.flatMap((name) => cluster.relaysOf(name))
      .forEach((relay) => relay.heal());
    await fixture.waitUntilServing(cluster.names);
  });
});

describe("a link connection to a peer that never reads", () => {
  const settings = {
    heartbeatMs: 60_000,
    idleMs: 600_000,
    maxMessageBytes: 100_000,
    maxQueuedBytes: 200_000,
  };
  const MESSAGE_BYTES = 20_000;
  const text = "x".repeat(MESSAGE_BYTES);

  /** A connection whose peer reads nothing and sends only what the test writes. */
  const connectedPair = async (
    handlers: Handlers,
  ): Promise<
    { socket: Socket; peer: Socket; connection: Connection; end: () => void }
  > => {
    let accept: (socket: Socket) => void = () => {};
    const accepted = new Promise<Socket>((resolve) => accept = resolve);
    const server = createServer((socket) => accept(socket));
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const address = server.address();
    const port = typeof address === "object" ? address?.port ?? 0 : 0;
    const peer = connect({ host: "127.0.0.1", port });
    peer.pause();
    peer.on("error", () => {});
    const socket = await accepted;
    const connection = new Connection(socket, {
      handlers,
      settings,
      now: () => performance.now(),
      count: () => {},
    });
    const end = (): void => {
      connection.close("end of test");
      peer.destroy();
      server.close();
    };
    return { socket, peer, connection, end };
  };

  it("limits the bytes of queued notifications and calls", async () => {
    const { socket, connection, end } = await connectedPair(new Map());
    let maxQueuedBytes = 0;
    for (let number = 0; number < 2_000; number += 1) {
      connection.notify("news", { text });
      maxQueuedBytes = Math.max(maxQueuedBytes, socket.writableLength);
    }
    const refused = await Promise.all(
      Array.from(
        { length: 50 },
        () => connection.request("renew", { text }, 50),
      ),
    );
    maxQueuedBytes = Math.max(maxQueuedBytes, socket.writableLength);
    expect(refused.filter((one) => one.ok)).toEqual([]);
    expect(maxQueuedBytes).toBeLessThan(
      settings.maxQueuedBytes + 2 * MESSAGE_BYTES,
    );
    end();
  });

  it("is closed when the peer requests answers without reading them", async () => {
    const answer = (): Promise<never> =>
      Promise.resolve({ ok: true, err: false, val: { text } } as never);
    const { peer, connection, end } = await connectedPair(
      new Map([["read", answer]]),
    );
    const closed = new Promise<string>((resolve) =>
      connection.onClose = resolve
    );
    for (let id = 0; id < 2_000; id += 1) {
      peer.write(
        `${
          JSON.stringify({ jsonrpc: "2.0", id, method: "read", params: {} })
        }\n`,
      );
    }
    expect(await closed).toBe("answer could not be sent");
    end();
  });

  it("is closed when the peer sends a message that is too long", async () => {
    const { peer, connection, end } = await connectedPair(new Map());
    const closed = new Promise<string>((resolve) =>
      connection.onClose = resolve
    );
    peer.write("x".repeat(settings.maxMessageBytes * 2));
    expect(await closed).toMatch(/longer than 100000 bytes/);
    end();
  });
});
