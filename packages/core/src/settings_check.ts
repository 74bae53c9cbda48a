/**
 * Checks across several values of the settings.
 *
 * @module
 */
import type { Fault } from "./fault.ts";
import { parseJson } from "./json_text.ts";
import { Err, Ok, type Result } from "./result.ts";
import { type Peer, Settings } from "./settings.ts";
import { parseTolerantly, type TolerantResult } from "./tolerant_parse.ts";
import { type Finding, invalid, parse } from "./validate.ts";

/** Reads settings from JSON text; the fault names the file and each offending value. */
export function parseSettings(
  text: string,
  fileName: string,
): Result<Settings, Fault> {
  return parseJson(text, fileName)
    .andThen((value) => parse(Settings, value, fileName))
    .andThen((settings) => checkSettings(settings, fileName));
}

/** As `parseSettings`, for a start: leaves out keys of another version (`parseTolerantly`). */
export function readSettings(
  text: string,
  fileName: string,
): Result<TolerantResult<Settings>, Fault> {
  return parseJson(text, fileName)
    .andThen((value) => parseTolerantly(Settings, value, fileName))
    .andThen(({ value, ignored }) =>
      checkSettings(value, fileName).map((settings) => ({
        value: settings,
        ignored,
      }))
    );
}

/** Returns the settings when their values are consistent, and a fault with every finding otherwise. */
export function checkSettings(
  settings: Settings,
  fileName: string,
): Result<Settings, Fault> {
  const findings = [
    ...timing(settings),
    ...sizes(settings),
    ...addresses(settings),
    ...ownPeer(settings),
    ...storage(settings),
  ];
  return findings.length === 0
    ? Ok(settings)
    : Err(invalid(fileName, findings));
}

/** Each interval must be at most half of its deadline, so that a single lost message causes no failure. */
function timing(settings: Settings): Finding[] {
  const { lease, raft, link, targets } = settings;
  return [
    ...atMostHalf("lease.renewEveryMs", lease.renewEveryMs, {
      path: "lease.durationMs",
      value: lease.durationMs,
    }),
    ...atMostHalf("raft.heartbeatMs", raft.heartbeatMs, {
      path: "raft.electionMinMs",
      value: raft.electionMinMs,
    }),
    ...atMostHalf("link.heartbeatMs", link.heartbeatMs, {
      path: "link.idleMs",
      value: link.idleMs,
    }),
    ...atMostHalf("targets.announceEveryMs", targets.announceEveryMs, {
      path: "targets.expireMs",
      value: targets.expireMs,
    }),
    ...positive("lease.driftMarginMs", lease.driftMarginMs),
    ...positive("link.callTimeoutMs", link.callTimeoutMs),
    ...positive("forward.connectTimeoutMs", settings.forward.connectTimeoutMs),
  ];
}

/** Growth of a payload inside a JSON message, whose quotes are escaped and whose bytes are base64. */
const JSON_GROWTH_FACTOR = 2;

/** Size of a message without its payload. */
const ENVELOPE_BYTES = 4_096;

function sizes(settings: Settings): Finding[] {
  const { link, limits, ledger } = settings;
  const message = { path: "link.maxMessageBytes", value: link.maxMessageBytes };
  return [
    ...atMost("link.maxMessageBytes", link.maxMessageBytes, {
      path: "link.maxQueuedBytes",
      value: link.maxQueuedBytes,
    }),
    ...atMost(
      "limits.maxAdminBytes",
      messageBytes(limits.maxAdminBytes),
      message,
    ),
    ...atMost(
      "ledger.maxStoredAnswerBytes",
      messageBytes(ledger.maxStoredAnswerBytes),
      message,
    ),
  ];
}

function messageBytes(bytes: number): number {
  return bytes * JSON_GROWTH_FACTOR + ENVELOPE_BYTES;
}

/** A limiting setting: its path and its value. */
interface Bound {
  path: string;
  value: number;
}

function atMostHalf(path: string, value: number, bound: Bound): Finding[] {
  if (value > 0 && value * 2 <= bound.value) {
    return [];
  }
  const message =
    `${value} must be above 0 and at most half of ${bound.path} (${bound.value})`;
  return [{ path, message }];
}

function atMost(path: string, required: number, bound: Bound): Finding[] {
  if (required <= bound.value) {
    return [];
  }
  const message =
    `needs ${bound.path} to be at least ${required}, but it is ${bound.value}`;
  return [{ path, message }];
}

function positive(path: string, value: number): Finding[] {
  return value > 0 ? [] : [{ path, message: "must be above 0" }];
}

/** All addresses of a daemon must differ, and no two daemons may share an address or a name. */
function addresses(settings: Settings): Finding[] {
  const owners = new Map<string, string>();
  const findings: Finding[] = [];
  const claim = (address: string, path: string): void => {
    const owner = owners.get(address);
    if (owner === undefined) {
      owners.set(address, path);
    } else {
      findings.push({ path, message: `${address} is in use by ${owner}` });
    }
  };
  claim(settings.listen.service, "listen.service");
  claim(settings.listen.admin, "listen.admin");
  claim(settings.listen.link, "listen.link");
  const entries = new Map<string, number>();
  settings.peers.forEach((peer, index) => {
    const path = `peers[${index}]`;
    const earlier = entries.get(peer.entry);
    if (earlier !== undefined) {
      findings.push({
        path: `${path}.entry`,
        message:
          `"${peer.entry}" is listed twice, first at peers[${earlier}]; remove one`,
      });
      return;
    }
    entries.set(peer.entry, index);
    if (peer.entry !== settings.entry) {
      claim(peer.link, `${path}.link`);
      claim(peer.admin, `${path}.admin`);
    }
  });
  return findings;
}

/** The peer with this daemon's name must have the same zone and addresses as the rest of the settings. */
function ownPeer(settings: Settings): Finding[] {
  const index = settings.peers.findIndex((p) => p.entry === settings.entry);
  const own = settings.peers[index];
  if (own === undefined) {
    return [];
  }
  const expected: Pick<Peer, "zone" | "link" | "admin"> = {
    zone: settings.zone,
    link: settings.listen.link,
    admin: settings.listen.admin,
  };
  const findings: Finding[] = [];
  for (const key of ["zone", "link", "admin"] as const) {
    if (own[key] !== expected[key]) {
      const source = key === "zone" ? "zone" : `listen.${key}`;
      findings.push({
        path: `peers[${index}].${key}`,
        message: `"${own[key]}" is not this daemon's own ${source} ("${
          expected[key]
        }")`,
      });
    }
  }
  return findings;
}

function storage(settings: Settings): Finding[] {
  if (settings.dataFolder !== undefined) {
    return [];
  }
  if (settings.peers.length === 0) {
    return [{
      path: "dataFolder",
      message: "is required for a single process, which has no peers",
    }];
  }
  const own = settings.peers.findIndex((peer) =>
    peer.entry === settings.entry && peer.replica
  );
  return own < 0 ? [] : [{
    path: "dataFolder",
    message: `is required, because peers[${own}].replica is true`,
  }];
}
