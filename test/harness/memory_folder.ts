/**
 * Keeps the temporary folders of tests in memory, unless `TMPDIR` names another place. Disks that trim deleted blocks at
 * once take longer to delete a file than the tests wait.
 *
 * @module
 */
import { accessSync, constants } from "node:fs";
import process from "node:process";

const MEMORY_FOLDER = "/dev/shm";

function isWritable(folder: string): boolean {
  try {
    accessSync(folder, constants.W_OK);
    return true;
  } catch {
    return false;
  }
}

if (process.env["TMPDIR"] === undefined && isWritable(MEMORY_FOLDER)) {
  process.env["TMPDIR"] = MEMORY_FOLDER;
}
