// Whether node_modules holds the packages of the lock file for this machine.
import { execFileSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

/** Written by npm at the end of an installation; absent while one is under way and after one that was interrupted. */
const INSTALLED_LOCK = "node_modules/.package-lock.json";

/**
 * Reasons why the packages have to be installed again; none if they are complete. Contents decide, not times: a folder
 * that was copied from another machine or kept from an earlier commit may be newer than the lock file.
 */
export function findPackageProblems(root) {
  const wanted = readPackages(join(root, "package-lock.json"));
  const installed = readPackages(join(root, INSTALLED_LOCK));
  if (installed === undefined) {
    return [`${INSTALLED_LOCK} is missing or unreadable`];
  }
  const problems = Object.entries(wanted)
    .filter(([path, entry]) =>
      path.includes("node_modules/") && isForThisMachine(entry)
    )
    .flatMap(([path, entry]) =>
      findProblem(root, path, entry, installed[path])
    );
  return problems.length > 0 ? problems : findBundlerProblem(root, wanted);
}

function readPackages(file) {
  try {
    return JSON.parse(readFileSync(file, "utf8")).packages;
  } catch {
    return undefined;
  }
}

function findProblem(root, path, wanted, installed) {
  if (installed === undefined) {
    return [`${path} is not installed`];
  }
  if (
    installed.version !== wanted.version ||
    installed.integrity !== wanted.integrity
  ) {
    return [
      `${path} is of version ${installed.version}, not ${wanted.version}`,
    ];
  }
  return existsSync(join(root, path, "package.json"))
    ? []
    : [`${path} has no files`];
}

/** The bundler is a native program: it may be for another kind of machine, or incomplete. */
function findBundlerProblem(root, wanted) {
  const path = "node_modules/esbuild";
  try {
    const version = execFileSync(
      join(root, path, "bin/esbuild"),
      ["--version"],
      { encoding: "utf8", stdio: ["ignore", "pipe", "pipe"] },
    ).trim();
    const { version: expected } = wanted[path];
    return version === expected
      ? []
      : [`${path} runs version ${version}, not ${expected}`];
  } catch (error) {
    const [reason] = String(error.stderr || error.message).split("\n", 1);
    return [`${path} does not run: ${reason}`];
  }
}

/** Whether npm installs a package here; optional packages name the machines that they are for. */
function isForThisMachine({ os, cpu, libc }) {
  return includes(os, process.platform) && includes(cpu, process.arch) &&
    (libc === undefined || process.platform !== "linux" ||
      includes(libc, hostLibc()));
}

function includes(allowed, value) {
  return allowed === undefined || allowed.includes(value);
}

function hostLibc() {
  const { glibcVersionRuntime } = process.report.getReport().header;
  return glibcVersionRuntime === undefined ? "musl" : "glibc";
}
