// Identity of the sources of the node program.
import { execFileSync } from "node:child_process";
import { createHash } from "node:crypto";
import { readdirSync, readFileSync, statSync } from "node:fs";
import { join } from "node:path";

/** Files and folders from which the node program is built, relative to the repository. */
const PROGRAM_SOURCES = [
  "package-lock.json",
  "packages/core/src",
  "packages/daemon/src",
  "platform/bin",
  "platform/src",
  "scripts/build",
];

/** Digits of an identity that are kept: enough to tell builds apart, and short enough for a log line. */
const ID_LENGTH = 12;

/** Hash of the sources of the node program. It depends on their contents and names only, not on times. */
export function hashSources(root, sources = PROGRAM_SOURCES) {
  const hash = createHash("sha256");
  for (const file of sources.flatMap((path) => filesBelow(root, path)).sort()) {
    hash.update(`${file}\0`).update(readFileSync(join(root, file))).update(
      "\0",
    );
  }
  return shortId(hash);
}

/** Hash of a text. */
export function hashText(text) {
  return shortId(createHash("sha256").update(text));
}

/** Commit of the working copy, with `-dirty` if files differ from it; "unknown" outside of a Git repository. */
export function describeRevision(root) {
  try {
    return execFileSync(
      "git",
      ["describe", "--always", "--dirty", "--exclude", "*"],
      { cwd: root, encoding: "utf8", stdio: ["ignore", "pipe", "ignore"] },
    ).trim();
  } catch {
    return "unknown";
  }
}

function filesBelow(root, path) {
  if (!statSync(join(root, path)).isDirectory()) {
    return [path];
  }
  return readdirSync(join(root, path), { withFileTypes: true }).flatMap(
    (entry) => {
      const child = `${path}/${entry.name}`;
      return entry.isDirectory() ? filesBelow(root, child) : [child];
    },
  );
}

function shortId(hash) {
  return hash.digest("hex").slice(0, ID_LENGTH);
}
