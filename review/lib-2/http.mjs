// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// HTTP/1.1 calls with JSON bodies.
import { Agent, request } from "node:http";

const agent = new Agent({ keepAlive: true });

// The answer, or undefined if none came within the time.
export function call(
  { address, method, path, body, host, timeoutMs = 1_000, headers = {} },
) {
  const [hostname, port] = address.split(":");
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve) => {
    const sent = request({
      hostname,
      port,
      method,
      path,
      agent,
      headers: {
        ...headers,
        host: host ?? address,
        ...(text !== undefined && {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        }),
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => end(undefined));
      response.on("end", () => {
        const answer = Buffer.concat(chunks).toString();
        end({ status: response.statusCode, body: parse(answer) });
      });
    });
    const timer = setTimeout(() => {
      end(undefined);
      sent.destroy();
    }, timeoutMs);
    function end(answer) {
      clearTimeout(timer);
      resolve(answer);
    }
    sent.on("error", () => end(undefined));
    sent.end(text);
  });
}

export function parse(text) {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

export function readBody(message) {
  return new Promise((resolve) => {
    const chunks = [];
    message.on("data", (chunk) => chunks.push(chunk));
    message.on("error", () => resolve(undefined));
    message.on("end", () => resolve(parse(Buffer.concat(chunks).toString())));
  });
}
