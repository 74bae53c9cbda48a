/**
 * The data folder of a replica at start: opened, or formatted when it is new.
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
import { openStorage } from "./storage/open_storage.ts";
import type { Storage } from "./storage/storage.ts";

/** An open data folder. */
export interface ReplicaFolder {
  replica: ReplicaId;
  stored: StoredState;
  storage: Storage;
}

/**
 * Opens the configured data folder; undefined if none is configured. A new folder is formatted with a new replica id,
 * so that a replica whose disk was lost never votes under its old id.
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
