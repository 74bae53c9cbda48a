/**
 * Deployments of daemons that run as separate processes.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Settings } from "@quetzalcove/core";
import {
  callAdmin,
  Child,
  ensureLogFolder,
  logFilePath,
} from "./child_process.ts";

const DAEMON = fileURLToPath(import.meta.resolve("@quetzalcove/daemon/bin"));
const PORTS = { service: 8080, admin: 8081, link: 8082 } as const;

/** Starts a daemon per settings object. Settings files and logs are written below `folder`. */
export function startDaemons(
  settings: readonly Settings[],
  folder: string,
): Child[] {
  const logs = ensureLogFolder(join(folder, "logs"));
  return settings.map((one) => {
    const file = join(folder, `${one.entry}.json`);
    writeFileSync(file, JSON.stringify(one, null, 2));
    return new Child(
      one.entry,
      [DAEMON, "--settings", file],
      logFilePath(logs, one.entry),
    );
  });
}

/**
 * Initializes the cluster unless it is initialized, and returns whether every configured replica is a voter that has
 * caught up.
 */
export async function initializeCluster(
  settings: readonly Settings[],
): Promise<boolean> {
  const admin = settings[0]?.listen.admin ?? "";
  await callAdmin(admin, "/v1/init", {});
  const expectedVoters =
    settings.filter((one) => one.dataFolder !== undefined).length;
  const answer = await callAdmin<
    { replicas?: { role: string; caughtUp: boolean }[] }
  >(
    admin,
    "/v1/replicas",
  );
  const voters = (answer?.value.replicas ?? []).filter((r) =>
    r.role !== "learner" && r.caughtUp
  );
  return voters.length === expectedVoters;
}

/** Options of a generated deployment. */
export interface DeploymentOptions {
  entries: number;
  replicas: number;
  /** First three octets of the loopback addresses, for example `127.40.1`. */
  network: string;
  folder: string;
}

/** Generates the settings of a deployment in three availability zones. */
export function generateSettings(
  { entries, replicas, network, folder }: DeploymentOptions,
): Settings[] {
  const zones = ["zone-a", "zone-b", "zone-c"];
  const peers = Array.from({ length: entries }, (_, index) => ({
    entry: `e${index + 1}`,
    zone: zones[index % zones.length],
    link: `${network}.${index + 1}:${PORTS.link}`,
    admin: `${network}.${index + 1}:${PORTS.admin}`,
    replica: index < replicas,
  }));
  return peers.map((peer, index) =>
    Settings.parse({
      cluster: "generated",
      entry: peer.entry,
      zone: peer.zone,
      listen: {
        service: `${network}.${index + 1}:${PORTS.service}`,
        admin: peer.admin,
        link: peer.link,
      },
      peers,
      ...(peer.replica && { dataFolder: join(folder, "data", peer.entry) }),
      stop: { noticeMs: 0 },
    })
  );
}
