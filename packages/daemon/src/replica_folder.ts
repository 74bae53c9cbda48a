/**
 * The data folder of a replica: opened, or formatted when it is new.
 *
 * @module
 */
import {
  emptyStoredState,
  type Fault,
  Ok,
  type ReplicaId,
  type Result,
  type Settings,
  type StoredState,
} from "@quetzalcove/core";
import { formatFolder, newReplicaId, readFormat } from "./storage/format.ts";
import { openStorage } from "./storage/opening.ts";
import type { Storage } from "./storage/storage.ts";

/** An open data folder. */
export interface ReplicaFolder {
  replica: ReplicaId;
  stored: StoredState;
  storage: Storage;
}

/**
 * Opens the data folder of the settings, if there is one. A folder that is not formatted gets a new replica id, so that
 * a replica whose disk was lost never votes under its old id.
 */
export async function openReplicaFolder(
  settings: Settings,
): Promise<Result<ReplicaFolder | undefined, Fault>> {
  const { dataFolder, cluster, entry } = settings;
  if (dataFolder === undefined) {
    return Ok(undefined);
  }
  const known = await readFormat(dataFolder);
  if (known.err) {
    return known;
  }
  if (known.val === undefined) {
    const formatted = await formatFolder(dataFolder, {
      cluster,
      replica: newReplicaId(entry),
      stored: emptyStoredState(),
    });
    if (formatted.err) {
      return formatted;
    }
  }
  return (await openStorage(dataFolder)).map(({ format, stored, storage }) => ({
    replica: format.replica,
    stored,
    storage,
  }));
}
