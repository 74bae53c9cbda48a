import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import { connect } from "node:net";
import { expect, it } from "vitest";
import { CallerMemory, Settings } from "@quetzalcove/core";
import { HttpServer, writeReply } from "../src/http_server.ts";

const ADDRESS = "127.0.0.1:20991";
const { limits } = Settings.parse({
  cluster: "test",
  entry: "e1",
  zone: "a",
  listen: { service: ADDRESS, admin: ADDRESS, link: ADDRESS },
});
const ANSWERS_BEFORE_STOP = 3;
const MAX_ANSWERS = 100;
const LATE_ADDRESS = "127.0.0.1:20992";
const ANSWER_BYTES = 20_000;
const REQUESTS_AHEAD = 200;

it(
  "stops while a caller keeps its connection busy, without cutting off a response",
  async () => {
    const answers: string[] = [];
    let stopping: Promise<void> | undefined;
    const server = new HttpServer({
      name: "server",
      address: ADDRESS,
      limits,
      memory: new CallerMemory(10_000_000),
      refuse: () => {},
      onShed: () => {},
      listener: (incoming, response) => {
        if (answers.length === ANSWERS_BEFORE_STOP) {
          stopping = server.stop();
        }
        setImmediate(() =>
          writeReply(incoming, response, {
            status: 200,
            headers: { "content-length": "5" },
            body: Buffer.from("whole"),
          })
        );
      },
    });
    await server.start();
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const call = (): Promise<boolean> =>
      new Promise((resolve) => {
        const sent = request(`http://${ADDRESS}/`, { agent }, (answer) => {
          let text = "";
          answer.on("data", (chunk) => text += chunk);
          answer.on("end", () => {
            answers.push(text);
            resolve(true);
          });
        });
        sent.on("error", () => resolve(false));
        sent.end();
      });
    while (await call()) {
      expect(answers.length).toBeLessThan(MAX_ANSWERS);
    }
    await stopping;
    expect(answers).toEqual(Array(ANSWERS_BEFORE_STOP + 1).fill("whole"));
    agent.destroy();
  },
  10_000,
);

// Guards against a connection that is not read on after its answers have waited for the caller.
it(
  "answers all requests that are sent ahead by a caller that reads late",
  async () => {
    const server = new HttpServer({
      name: "server",
      address: LATE_ADDRESS,
      limits,
      memory: new CallerMemory(100_000_000),
      refuse: () => {},
      onShed: () => {},
      listener: async (incoming, response) => {
        await new Promise((resolve) => setImmediate(resolve));
        writeReply(incoming, response, {
          status: 200,
          headers: { "content-length": String(ANSWER_BYTES) },
          body: Buffer.alloc(ANSWER_BYTES, "x"),
        });
      },
    });
    await server.start();
    let bytes = 0;
    await new Promise<void>((resolve) => {
      const socket = connect({ host: "127.0.0.1", port: 20_992 });
      socket.pause();
      socket.on("data", (chunk) => {
        bytes += chunk.filter((byte) => byte === 0x78).length;
        if (bytes === REQUESTS_AHEAD * ANSWER_BYTES) {
          socket.destroy();
          resolve();
        }
      });
      socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(REQUESTS_AHEAD));
      setTimeout(() => socket.resume(), 300);
    });
    await server.stop();
    expect(bytes).toBe(REQUESTS_AHEAD * ANSWER_BYTES);
  },
  10_000,
);
