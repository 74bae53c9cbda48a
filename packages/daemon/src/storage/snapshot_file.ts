/**
 * Snapshot files, named by the snapshot's index: a frame with the metadata and a frame with the data.
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
import { corruptionFault, encodeFrame, scanFrames } from "./frame.ts";

const SNAPSHOT_NAME = /^snapshot-(\d{16})$/;
const INDEX_DIGITS = 16;

function snapshotName(index: number): string {
  return `snapshot-${String(index).padStart(INDEX_DIGITS, "0")}`;
}

/** Writes a snapshot atomically: after a crash it is complete or absent. */
export function writeSnapshot(
  folder: string,
  snapshot: Snapshot,
): Promise<void> {
  const { data, ...metadata } = snapshot;
  const path = join(folder, snapshotName(snapshot.index));
  const frames = [encodeFrame(JSON.stringify(metadata)), encodeFrame(data)];
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
    const [metadata, data] = bodies;
    if (metadata === undefined || data === undefined) {
      return Err(corruptionFault(name, validBytes));
    }
    const parsed = SnapshotMetadata.safeParse(
      JSON.parse(metadata.toString("utf8")),
    );
    return parsed.success
      ? Ok({ ...parsed.data, data: data.toString("utf8") })
      : Err(corruptionFault(name, 0));
  });
}

/** Removes the snapshots of lower indexes. */
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
