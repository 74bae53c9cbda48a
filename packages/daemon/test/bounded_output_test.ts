import { closeSync, openSync, readFileSync, rmSync } from "node:fs";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { boundedOutput } from "../src/observe/bounded_output.ts";

describe("output of a bounded stream", () => {
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

  it("arrives in order", async () => {
    const output = boundedOutput(descriptor);
    ["a\n", "b\n", "c\n"].forEach((line) => output.write(line));
    await vi.waitFor(() =>
      expect(readFileSync(file, "utf8")).toBe("a\nb\nc\n")
    );
  });

  it("is dropped beyond its bound, and says how much was", async () => {
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
