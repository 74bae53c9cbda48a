// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// HTTP calls of the stand-ins, and small helpers.
import { request } from "node:http";

export const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Sends a call; resolves with status 0 if there is no complete answer in time. */
export function call(
  address,
  method,
  path,
  { body, host = address, headers = {}, timeoutMs = 3000, agent = false } = {},
) {
  const [hostname, port] = address.split(":");
  const text = body === undefined ? "" : JSON.stringify(body);
  return new Promise((resolve) => {
    const none = (reason) => resolve({ status: 0, body: undefined, reason });
    const sent = request({
      hostname,
      port,
      method,
      path,
      agent,
      headers: {
        host,
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        ...headers,
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", (error) => none(error.message));
      response.on("end", () => {
        clearTimeout(timer);
        const answer = Buffer.concat(chunks).toString();
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: answer === "" ? undefined : JSON.parse(answer),
        });
      });
    });
    const timer = setTimeout(() => {
      none("no answer in time");
      sent.destroy();
    }, timeoutMs);
    sent.on("error", (error) => {
      clearTimeout(timer);
      none(error.message);
    });
    sent.end(text);
  });
}

/** Reads a request's body as JSON. */
export async function readJson(request) {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString();
  return text === "" ? {} : JSON.parse(text);
}

/** A random generator with a seed (mulberry32), so that a run can be repeated as far as timing allows. */
export function seeded(seed) {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
}

/** Polls until a condition holds; returns whether it did within the limit. */
export async function until(condition, limitMs) {
  const deadline = performance.now() + limitMs;
  while (performance.now() < deadline) {
    if (await condition()) {
      return true;
    }
    await wait(50);
  }
  return false;
}
