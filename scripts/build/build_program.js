// Builds the node program into a folder.
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { BUNDLE_FILE } from "../../platform/bin/quetzalcove-node.cjs";
import {
  beginBuild,
  createStagingFolder,
  frameBundle,
  installProgram,
  writeWhole,
} from "./program_folder.js";
import { describeRevision, hashSources, hashText } from "./sources.js";

const LAUNCHER = "platform/bin/quetzalcove-node.cjs";

/** Runs the program of its own folder, also one outside of the repository. */
const LINK_FILE = "quetzalcove-node.cjs";

/** Builds the program of a repository; `prepare` runs once an earlier program is marked as outdated. */
export async function buildProgram(root, folder, prepare = () => {}) {
  const sources = hashSources(root);
  beginBuild(folder, sources);
  prepare();
  // The bundler is one of the packages that `prepare` installs.
  const { bundleProgram } = await import("./bundle.js");
  const text = await bundleProgram(root);
  const revision = describeRevision(root);
  const build = { id: hashText(text), sources, revision };
  const staging = createStagingFolder(folder);
  writeWhole(staging, BUNDLE_FILE, frameBundle(text, build));
  const launcher = join(root, LAUNCHER);
  for (const flags of roleFlags(root)) {
    execFileSync(
      process.execPath,
      [...flags, launcher, "--write-code-cache", staging],
      { stdio: ["ignore", "ignore", "inherit"] },
    );
  }
  writeWhole(
    folder,
    LINK_FILE,
    `require(${JSON.stringify(launcher)}).run(__dirname);\n`,
  );
  installProgram(staging, folder);
  return build;
}

/** Flags of Node.js of each role in the deploy file; V8 takes a code cache only under the flags that it was written with. */
function roleFlags(root) {
  return Array.from(
    readFileSync(join(root, "deploy/system.toml"), "utf8")
      .matchAll(/^run = "node (.*) platform\//gm),
    ([, flags]) => flags.split(" "),
  );
}
