// The build of deploy/system.toml: installs the packages if they are not those of the lock file for this machine, then builds
// the node program into target/. It fails if either does, and then no process starts the program of an earlier commit.
import { execFileSync } from "node:child_process";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { buildProgram } from "./build/build_program.js";
import { findPackageProblems } from "./build/packages.js";

const root = fileURLToPath(new URL("..", import.meta.url));

function installPackages() {
  const problems = findPackageProblems(root);
  if (problems.length === 0) {
    return;
  }
  const [first] = problems;
  const more = problems.length > 1 ? ` (and ${problems.length - 1} more)` : "";
  process.stderr.write(`Packages are installed again: ${first}${more}\n`);
  execFileSync("npm", ["ci", "--no-audit", "--no-fund", "--loglevel=error"], {
    cwd: root,
    stdio: ["ignore", "ignore", "inherit"],
  });
}

try {
  await buildProgram(root, join(root, "target"), installPackages);
} catch (error) {
  process.stderr.write(`Build failed: ${error.message}\n`);
  process.exitCode = 1;
}
