import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import { expect, it } from "vitest";
import { Settings } from "@quetzalcove/core";
import { HttpServer, writeReply } from "../src/http_server.ts";

const ADDRESS = "127.0.0.1:20991";
const { limits } = Settings.parse({
  cluster: "test",
  entry: "e1",
  zone: "a",
  listen: { service: ADDRESS, admin: ADDRESS, link: ADDRESS },
});
const STOP_AFTER = 3;
const MOST_ANSWERS = 100;

it(
  "a server ends although a caller keeps its connection busy, and cuts off no answer",
  async () => {
    const answers: string[] = [];
    let stopping: Promise<void> | undefined;
    const server = new HttpServer({
      name: "server",
      address: ADDRESS,
      limits,
      listener: (incoming, response) => {
        if (answers.length === STOP_AFTER) {
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
      expect(answers.length).toBeLessThan(MOST_ANSWERS);
    }
    await stopping;
    expect(answers).toEqual(Array(STOP_AFTER + 1).fill("whole"));
    agent.destroy();
  },
  10_000,
);
