/**
 * The data folder of a replica.
 *
 * @module
 */
export {
  type FolderFormat,
  formatFolder,
  type FormatOptions,
  newClusterId,
  newReplicaId,
  readFormat,
} from "./format.ts";
export { type OpenedStorage, openStorage } from "./open_storage.ts";
export { Storage } from "./storage.ts";
