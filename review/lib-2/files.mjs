// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// The commands of the deploy file, a temporary folder and the record of a case.
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

// Words of `run` of a role in deploy/system.toml.
export function commandOf(role) {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const part = text.split(`[roles.${role}]`)[1]?.split("\n[")[0] ?? "";
  const run = /^run = "([^"]+)"$/m.exec(part)?.[1];
  if (run === undefined) {
    throw new Error(`The deploy file has no role ${role}`);
  }
  return run.split(" ");
}

export function temporaryFolder() {
  const folder = mkdtempSync(join(tmpdir(), "review-case-"));
  return {
    folder,
    remove: () => rmSync(folder, { recursive: true, force: true }),
  };
}

// Writes what was sent, answered and run, with milliseconds since the start of the script.
export class Record {
  constructor(path) {
    this.path = path;
    this.lines = [];
    writeFileSync(path, "");
  }

  add(who, what, fields = {}) {
    const at = Math.round(performance.now());
    const rest = Object.entries(fields).map(([name, value]) =>
      `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`
    );
    this.lines.push(
      [String(at).padStart(6), who, what, ...rest].join(" ") + "\n",
    );
    if (this.lines.length > 500) {
      this.flush();
    }
  }

  flush() {
    appendFileSync(this.path, this.lines.splice(0).join(""));
  }
}

export function wait(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

// Polls until the condition holds; whether it did in time.
export async function until(condition, limitMs, intervalMs = 20) {
  const end = performance.now() + limitMs;
  for (;;) {
    if (await condition()) {
      return true;
    }
    if (performance.now() > end) {
      return false;
    }
    await wait(intervalMs);
  }
}
