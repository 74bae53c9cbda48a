/**
 * Snapshot files: a frame with the head and a frame with the data, named by the index.
 *
 * @module
 */
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import {
  Err,
  type Fault,
  Ok,
  type Result,
  type Snapshot,
  SnapshotMetadata,
} from "@quetzalcove/core";
import { removeFile, writeDurably } from "./files.ts";
import { damage, encodeFrame, scanFrames } from "./frame.ts";

const SNAPSHOT_NAME = /^snapshot-(\d{16})$/;
const INDEX_DIGITS = 16;

function snapshotName(index: number): string {
  return `snapshot-${String(index).padStart(INDEX_DIGITS, "0")}`;
}

/** Writes a snapshot so that it is complete or absent after a crash. */
export function writeSnapshot(
  folder: string,
  snapshot: Snapshot,
): Promise<void> {
  const { data, ...head } = snapshot;
  const path = join(folder, snapshotName(snapshot.index));
  const frames = [encodeFrame(JSON.stringify(head)), encodeFrame(data)];
  return writeDurably(path, Buffer.concat(frames));
}

/** Reads the newest snapshot, if there is one. */
export async function readSnapshot(
  folder: string,
): Promise<Result<Snapshot | undefined, Fault>> {
  const name = (await snapshotNames(folder)).at(-1);
  if (name === undefined) {
    return Ok(undefined);
  }
  const content = await readFile(join(folder, name));
  return scanFrames(content, name).andThen(({ bodies, validBytes }) => {
    const [head, data] = bodies;
    if (head === undefined || data === undefined) {
      return Err(damage(name, validBytes));
    }
    const parsed = SnapshotMetadata.safeParse(
      JSON.parse(head.toString("utf8")),
    );
    return parsed.success
      ? Ok({ ...parsed.data, data: data.toString("utf8") })
      : Err(damage(name, 0));
  });
}

/** Removes the snapshots before an index. */
export async function removeSnapshotsBefore(
  folder: string,
  index: number,
): Promise<void> {
  const newest = snapshotName(index);
  for (const name of await snapshotNames(folder)) {
    if (name < newest) {
      await removeFile(join(folder, name));
    }
  }
}

async function snapshotNames(folder: string): Promise<string[]> {
  const names = await readdir(folder);
  return names.filter((name) => SNAPSHOT_NAME.test(name)).sort();
}
