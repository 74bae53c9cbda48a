// Compiles all packages. The compiler compares times of files only, so that it takes output for current that was copied or
// kept from another commit, or from which files were removed; a stamp of sources and output tells whether it may.
import { spawnSync } from "node:child_process";
import {
  existsSync,
  mkdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { hashSources } from "./build/sources.js";

const root = fileURLToPath(new URL("..", import.meta.url));
const stampFile = join(root, "target/compiled.txt");
const projects = JSON.parse(readFileSync(join(root, "tsconfig.json"), "utf8"))
  .references.map(({ path }) => path);
const sources = hashSources(root, [
  "package-lock.json",
  "tsconfig.base.json",
  ...projects.flatMap((path) => [`${path}/src`, `${path}/tsconfig.json`]),
]);

function createStamp() {
  const outputs = projects.map((path) => `${path}/dist`)
    .filter((path) => existsSync(join(root, path)));
  return `${sources} ${hashSources(root, outputs)}\n`;
}

const isCurrent = existsSync(stampFile) &&
  readFileSync(stampFile, "utf8") === createStamp();
// An interrupted run leaves output without a stamp.
rmSync(stampFile, { force: true });
const { status } = spawnSync(
  process.execPath,
  ["node_modules/typescript/bin/tsc", "-b", ...isCurrent ? [] : ["--force"]],
  { cwd: root, stdio: "inherit" },
);
if (status === 0) {
  mkdirSync(join(root, "target"), { recursive: true });
  writeFileSync(stampFile, createStamp());
}
process.exitCode = status ?? 1;
