/**
 * The data folder of a scheduler node's replica at start: opened, or formatted when it is new.
 *
 * @module
 */
import {
  emptyStoredState,
  type Fault,
  type Member,
  type ReplicaId,
  type Result,
  type StoredState,
} from "@quetzalcove/core";
import type { ReplicaFolder } from "../replica_folder.ts";
import { hostAndPort } from "../net.ts";
import { formatFolder, newReplicaId, readFormat } from "../storage/format.ts";
import { skipLock } from "../storage/lock.ts";
import { openStorage } from "../storage/open_storage.ts";
import type { SchedulerSettings } from "@quetzalcove/core/scheduling";

/** Suffix of the replica ids of the initial voters; every node derives the same ids from the seeds. */
const INITIAL_VOTER_SUFFIX = "founder";

/** Placeholder for the zone of the initial voters; only their addresses are used. */
const UNKNOWN_ZONE = "unknown";

/**
 * Opens a data folder; formats it if it is new. At the first start of the cluster every node takes the seeds as the
 * initial voters; later a new folder gets a new replica id, so that a replica whose disk was lost never votes under its
 * old id.
 */
export async function openSchedulerFolder(
  settings: SchedulerSettings,
  dataFolder: string,
): Promise<Result<ReplicaFolder, Fault>> {
  const known = await readFormat(dataFolder);
  if (known.err) {
    return known;
  }
  if (known.val === undefined) {
    const { replica, stored } = initialState(settings);
    const formatted = await formatFolder(
      dataFolder,
      { cluster: settings.cluster, replica, stored },
      skipLock,
    );
    if (formatted.err) {
      return formatted;
    }
  }
  const opened = await openStorage(dataFolder, skipLock);
  return opened.map(({ format, stored, storage }) => ({
    replica: format.replica,
    stored,
    storage,
  }));
}

function initialState(
  { host, seeds, firstStart, listen }: SchedulerSettings,
): { replica: ReplicaId; stored: StoredState } {
  const initialVoters = seeds.map((seed) => hostAndPort(seed).host);
  if (!firstStart || !initialVoters.includes(host)) {
    return { replica: newReplicaId(host), stored: emptyStoredState() };
  }
  const { port } = hostAndPort(listen.link);
  const members = initialVoters.map((voter): Member => ({
    replica: `${voter}#${INITIAL_VOTER_SUFFIX}`,
    entry: voter,
    zone: UNKNOWN_ZONE,
    address: `${voter}:${port}`,
    standing: "voter",
  }));
  return {
    replica: `${host}#${INITIAL_VOTER_SUFFIX}`,
    stored: {
      hardState: { term: 1 },
      entries: [{
        kind: "membership",
        index: 1,
        term: 1,
        membership: { members },
      }],
    },
  };
}
