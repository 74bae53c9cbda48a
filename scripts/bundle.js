// Builds the node program with the packages that are installed: npm run bundle [-- --outdir FOLDER] [--check]
import { resolve } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { buildProgram } from "./build/build_program.js";
import { findProgramProblem } from "./build/program_folder.js";
import { hashSources } from "./build/sources.js";

const { values } = parseArgs({
  options: {
    outdir: { type: "string", default: "target" },
    // Only tells whether the program is that of this checkout.
    check: { type: "boolean", default: false },
  },
});
const root = fileURLToPath(new URL("..", import.meta.url));
const folder = resolve(root, values.outdir);

if (values.check) {
  const problem = findProgramProblem(folder, hashSources(root));
  if (problem !== undefined) {
    process.stderr.write(`${problem}. Build it: npm run bundle\n`);
    process.exitCode = 1;
  }
} else {
  await buildProgram(root, folder);
}
