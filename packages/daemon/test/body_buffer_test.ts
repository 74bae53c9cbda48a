import { expect, it } from "vitest";
import { BodyBuffer } from "../src/callers/body_buffer.ts";

// Guards against a body in small chunks that takes many times its length.
it("takes at most twice its length and a kilobyte, in chunks of any size", () => {
  for (const size of [1, 7, 100, 5_000]) {
    const body = new BodyBuffer();
    for (let sent = 0; sent < 20_000; sent += size) {
      body.append(Buffer.alloc(size, "x"));
      expect(body.capacity).toBeLessThanOrEqual(
        1_024 + 2 * body.length,
      );
    }
    expect(body.take().toString()).toBe(
      "x".repeat(Math.ceil(20_000 / size) * size),
    );
    expect(body.capacity).toBe(0);
  }
});

it("takes no more than the expected length, and keeps a chunk that is whole", () => {
  const body = new BodyBuffer();
  body.append(Buffer.from("abc"), 2_000);
  body.append(Buffer.alloc(1_990, "d"), 2_000);
  expect(body.capacity).toBe(2_000);
  const whole = Buffer.alloc(5_000);
  body.clear();
  body.append(whole);
  expect(body.take().buffer).toBe(whole.buffer);
});

// Guards against a short body that keeps all that was read with it, and counts as short.
it("copies a chunk that refers to much more than itself, and counts all that it keeps", () => {
  const read = Buffer.alloc(65_536);
  const body = new BodyBuffer();
  body.append(read.subarray(0, 10));
  expect(body.capacity).toBe(1_024);
  body.clear();
  body.append(read.subarray(0, 40_000));
  expect(body.capacity).toBe(65_536);
});
