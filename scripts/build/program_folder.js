// The folder of the node program: a process that starts during a build gets the whole program before or the whole new one.
import {
  closeSync,
  existsSync,
  fsyncSync,
  mkdirSync,
  openSync,
  readdirSync,
  readFileSync,
  renameSync,
  rmSync,
  writeSync,
} from "node:fs";
import { join } from "node:path";
import process from "node:process";
import {
  BUNDLE_FILE,
  HEADER_PREFIX,
  PENDING_FILE,
  readProgram,
  startTimeOf,
} from "../../platform/bin/quetzalcove-node.cjs";

/** Files and folders that a build renames or removes at its end, with its process id. */
const TEMPORARY = /\.(\d+)\.tmp$/;

/**
 * Marks the program in a folder as outdated until a build of the given sources is installed. A build that fails or is
 * killed leaves the mark, so that no process starts the program of other sources by mistake.
 */
export function beginBuild(folder, sources) {
  mkdirSync(folder, { recursive: true });
  removeLeftovers(folder);
  const { pid } = process;
  const pending = { sources, pid, startTime: startTimeOf(pid) };
  writeWhole(folder, PENDING_FILE, JSON.stringify(pending));
}

/** A new folder next to the program's files, in which they are prepared. */
export function createStagingFolder(folder) {
  const staging = temporaryPath(folder, "program");
  rmSync(staging, { recursive: true, force: true });
  mkdirSync(staging);
  return staging;
}

/** Text of a bundle with the identity of its build around it. */
export function frameBundle(text, build) {
  return `${HEADER_PREFIX}${JSON.stringify(build)}\n${text.trimEnd()}\n` +
    `${HEADER_PREFIX}${build.id}\n`;
}

/** Writes a file so that a reader, also one after a loss of power, gets the file before or the whole new one. */
export function writeWhole(folder, name, text) {
  const temporary = temporaryPath(folder, name);
  const file = openSync(temporary, "w");
  try {
    writeSync(file, text);
    fsyncSync(file);
  } finally {
    closeSync(file);
  }
  renameSync(temporary, join(folder, name));
}

/** Moves a program into its folder, the bundle last, and removes the caches of the program before. */
export function installProgram(staging, folder) {
  const caches = readdirSync(staging).filter((name) => name !== BUNDLE_FILE);
  for (const name of [...caches, BUNDLE_FILE]) {
    renameSync(join(staging, name), join(folder, name));
  }
  rmSync(staging, { recursive: true });
  readdirSync(folder)
    .filter((name) => name.endsWith(".cache") && !caches.includes(name))
    .forEach((name) => rmSync(join(folder, name), { force: true }));
  endBuild(folder);
}

/** Removes the mark of this process; another build may have begun. */
function endBuild(folder) {
  const file = join(folder, PENDING_FILE);
  if (
    existsSync(file) &&
    JSON.parse(readFileSync(file, "utf8")).pid === process.pid
  ) {
    rmSync(file, { force: true });
  }
}

/** Why the program in a folder cannot be used with the given sources; undefined if it can. */
export function findProgramProblem(folder, sources) {
  let build;
  try {
    ({ build } = readProgram(folder));
  } catch (error) {
    return error.message;
  }
  return build.sources === sources
    ? undefined
    : `The program in ${folder} is build ${build.id} of revision ${build.revision}, from other sources (${build.sources}) than this checkout (${sources})`;
}

/** Removes what builds that were interrupted have left. */
function removeLeftovers(folder) {
  for (const name of readdirSync(folder)) {
    const [, pid] = TEMPORARY.exec(name) ?? [];
    if (pid !== undefined && startTimeOf(pid) === undefined) {
      rmSync(join(folder, name), { recursive: true, force: true });
    }
  }
}

function temporaryPath(folder, name) {
  return join(folder, `${name}.${process.pid}.tmp`);
}
