/**
 * The command `quetzalcoved`.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import process from "node:process";
import { type Fault, parseSettings, readSettings } from "@quetzalcove/core";
import { cac } from "cac";
import { Daemon } from "./daemon.ts";
import { errorMessage } from "./observe/log.ts";

const EXIT_CODE = { ok: 0, failed: 1, usage: 2, settings: 3 } as const;

/** Runs the daemon with command-line arguments. */
export async function main(argv: string[]): Promise<void> {
  const cli = cac("quetzalcoved");
  cli.option("--settings <file>", "Settings of this daemon, in JSON");
  cli.option("--check", "Check the settings and exit");
  cli.help();
  cli.version("0.1.0");
  const { options } = cli.parse(argv, { run: false });
  if (options["help"] || options["version"]) {
    return;
  }
  const file: unknown = options["settings"];
  if (typeof file !== "string") {
    fail("Option --settings <file> is missing", EXIT_CODE.usage);
    return;
  }
  await runWithSettings(file, options["check"] === true);
}

async function runWithSettings(
  file: string,
  checkOnly: boolean,
): Promise<void> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch (error) {
    fail(
      `Settings file "${file}" cannot be read: ${errorMessage(error)}`,
      EXIT_CODE.settings,
    );
    return;
  }
  const settings = checkOnly
    ? parseSettings(text, file).map((value) => ({ value, ignored: [] }))
    : readSettings(text, file);
  if (settings.err) {
    fail(describe(settings.val), EXIT_CODE.settings);
  } else if (checkOnly) {
    process.stdout.write(`${file}: settings are valid\n`);
  } else {
    const daemon = new Daemon(settings.val.value);
    for (const { path, message } of settings.val.ignored) {
      daemon.log.warn("settings.key_ignored", { key: path, reason: message });
    }
    await run(daemon);
  }
}

async function run(daemon: Daemon): Promise<void> {
  daemon.onFailure = (cause) => {
    daemon.log.error("daemon.failed", {
      kind: cause.kind,
      reason: cause.message,
    });
    fail(describe(cause), EXIT_CODE.failed);
    process.exit();
  };
  const started = await daemon.start();
  if (started.err) {
    fail(describe(started.val), EXIT_CODE.failed);
    await daemon.stop();
    process.exit();
  }
  const stop = async (): Promise<void> => {
    await daemon.stop();
    process.exit(EXIT_CODE.ok);
  };
  process.once("SIGTERM", () => void stop());
  process.once("SIGINT", () => void stop());
}

function describe(found: Fault): string {
  const causes = (found.causes ?? []).map((cause) =>
    `\n  ${cause.path}: ${cause.message}`
  );
  const remedy = found.remedy === undefined ? "" : `\nRemedy: ${found.remedy}`;
  return `${found.message}${causes.join("")}${remedy}`;
}

function fail(message: string, code: number): void {
  process.stderr.write(`quetzalcoved: ${message}\n`);
  process.exitCode = code;
}
