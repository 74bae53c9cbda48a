import { closeSync, openSync, readFileSync, rmSync } from "node:fs";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { boundedOutput } from "../src/observe/bounded_output.ts";

describe("a bounded stream", () => {
  let folder = "";
  let file = "";
  let descriptor = -1;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "quetzalcove-output-"));
    file = join(folder, "log");
    descriptor = openSync(file, "w");
  });

  afterEach(() => {
    closeSync(descriptor);
    rmSync(folder, { recursive: true });
  });

  it("writes lines in order", async () => {
    const output = boundedOutput(descriptor);
    ["a\n", "b\n", "c\n"].forEach((line) => output.write(line));
    await vi.waitFor(() =>
      expect(readFileSync(file, "utf8")).toBe("a\nb\nc\n")
    );
  });

  it("writes whole lines, and at most PIPE_BUF bytes per write", async () => {
    const writes: string[] = [];
    const output = boundedOutput(descriptor, (_, bytes, done) => {
      writes.push(bytes.toString());
      setImmediate(() => done(null, bytes.length));
    });
    const lines = Array.from({ length: 500 }, (_, i) => `event=e n=${i}\n`);
    lines.forEach((line) => output.write(line));
    await vi.waitFor(() => expect(writes.join("")).toBe(lines.join("")));
    expect(writes.every((text) => text.endsWith("\n"))).toBe(true);
    expect(Math.max(...writes.map(({ length }) => length)))
      .toBeLessThanOrEqual(4_096);
  });

  it("writes the rest after a partial write", async () => {
    let taken = "";
    const output = boundedOutput(descriptor, (_, bytes, done) => {
      taken += bytes.subarray(0, 3).toString();
      setImmediate(() => done(null, Math.min(3, bytes.length)));
    });
    output.write("abcdefgh\n");
    await vi.waitFor(() => expect(taken).toBe("abcdefgh\n"));
  });

  it("drops lines beyond its bound and logs their number", async () => {
    const output = boundedOutput(descriptor);
    const line = `${"x".repeat(99_999)}\n`;
    for (let i = 0; i < 5; i++) {
      expect(output.write(line)).toBe(true);
    }
    await vi.waitFor(() =>
      expect(readFileSync(file, "utf8")).toContain("event=log.dropped lines=3")
    );
    expect(readFileSync(file, "utf8").length).toBeLessThan(262_144 + 100);
  });
});
