/**
 * Which replica relays the calls to a worker.
 *
 * A busy leader spends most of its processor time on HTTP calls to workers, while the other replicas idle. They relay
 * these calls in batches. Each worker has one relay, in its own zone if possible, and keeps it while the set of relays
 * stays the same, since new connections to workers are expensive.
 *
 * @module
 */
import { fnv1a } from "../../hash.ts";
import type { Worker } from "../model/command.ts";

/** A replica other than the leader, as the leader sees it. */
export interface RelayCandidate {
  host: string;
  zone: string;
  /** Whether its job store is close to the leader's, so that it knows the jobs whose tasks are started. */
  caughtUp: boolean;
  /** Whether the connection to it is open. */
  isConnected: boolean;
  /** Time since it last answered the leader, in milliseconds. */
  silentMs: number;
}

/** Silence after which a replica relays no calls; longer than a busy leader takes to read the answers. */
const MAX_SILENCE_MS = 1_000;

/** Share of the number of workers from which calls are relayed, below which they no longer are. */
const STOP_SHARE = 0.5;

/** Whether there are so many workers that relays save the leader more than they cost, with hysteresis. */
export function areRelaysWorthwhile(
  workers: number,
  fromWorkers: number,
  areInUse: boolean,
): boolean {
  return workers >= fromWorkers * (areInUse ? STOP_SHARE : 1);
}

/** Replicas that can relay calls now. One that does so already may fall behind: it declines tasks of unknown jobs. */
export function usableRelays(
  candidates: readonly RelayCandidate[],
  inUse: readonly string[],
): RelayCandidate[] {
  return candidates.filter(({ host, caughtUp, isConnected, silentMs }) =>
    (caughtUp || inUse.includes(host)) && isConnected &&
    silentMs <= MAX_SILENCE_MS
  );
}

/** Host of the relay for a worker by rendezvous hashing, preferably in its zone; undefined if there are no relays. */
export function chooseRelay(
  { id, zone }: Pick<Worker, "id" | "zone">,
  relays: readonly Pick<RelayCandidate, "host" | "zone">[],
): string | undefined {
  const near = relays.filter((relay) => relay.zone === zone);
  let chosen: string | undefined;
  let highest = -1;
  for (const { host } of near.length > 0 ? near : relays) {
    const weight = hash(`${host} ${id}`);
    if (weight > highest) {
      highest = weight;
      chosen = host;
    }
  }
  return chosen;
}

/** FNV-1a with a final mix, because similar texts would otherwise get similar high bits. */
function hash(text: string): number {
  let value = fnv1a(text);
  value = Math.imul(value ^ (value >>> 16), 0x85eb_ca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2_ae35);
  return (value ^ (value >>> 16)) >>> 0;
}
