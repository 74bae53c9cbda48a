// Exits with 0 if tests of a run failed and each is listed in KNOWN-RED.txt, else with 1: node scripts/known_red.js REPORT.json
import { existsSync, readFileSync } from "node:fs";
import { relative } from "node:path";
import process from "node:process";

const LIST = "KNOWN-RED.txt";
const ENTRY = /^test: (.+)$/gm;

const [reportFile = ""] = process.argv.slice(2);
const report = JSON.parse(readFileSync(reportFile, "utf8"));
const list = existsSync(LIST) ? readFileSync(LIST, "utf8") : "";
const known = new Set(Array.from(list.matchAll(ENTRY), ([, name]) => name));

const failed = report.testResults.flatMap(
  ({ name, status, assertionResults }) => {
    const file = relative(process.cwd(), name);
    const tests = assertionResults
      .filter((test) => test.status === "failed")
      .map(({ fullName }) => `${file} > ${fullName}`);
    // A file that fails as a whole, for instance because it cannot be loaded, is never accepted as known.
    return status === "failed" && tests.length === 0 ? [file] : tests;
  },
);
const unknown = failed.filter((name) => !known.has(name));
for (const name of failed) {
  const kind = known.has(name) ? "known red" : "FAILED";
  process.stdout.write(`${kind}: ${name}\n`);
}
process.exitCode = failed.length > 0 && unknown.length === 0 ? 0 : 1;
