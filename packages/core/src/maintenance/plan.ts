/**
 * Starts rounds and waves. A wave stays inside one failure domain and takes only VMs without which every service still
 * covers its demand after the worst further single loss. Capacity therefore suffices even if a wave never returns.
 *
 * @module
 */
import type { VmRecord } from "../fleet.ts";
import { isServing, type Location, vmLocations } from "./capacity.ts";
import type { Hold } from "./observation.ts";
import type { Pass } from "./pass.ts";
import { isDue, MAX_CONSECUTIVE_STOPS } from "./rollout.ts";
import { postponedHold, requestedStop } from "./requested_stop.ts";
import { longestStopMs, ROUND_PERIOD_SHARE, waveWidth } from "./width.ts";
import { windowRemainingMs } from "./window.ts";

/** Bake times to wait after a stopped wave before the next canary. */
const CANARY_RETRY_BAKES = 10;
/** Refused reboots per round after which a VM is left to the operator. */
const MAX_REBOOT_REFUSALS = 3;
/** A VM is urgent when less than this share of the maintenance period remains until it must be maintained again. */
const URGENT_PERIOD_SHARE = 0.125;

/** Starts the next wave, or reports why it is held back. */
export function planWave(pass: Pass): void {
  const hold = roundHold(pass) ?? pauseHold(pass) ?? windowHold(pass);
  if (hold !== undefined) {
    pass.reportHold(hold);
    return;
  }
  const due = Object.values(pass.state.vms).filter((record) =>
    isDue(record, pass.state.rollout)
  );
  const width = waveWidth(pass.rules, pass.state.rollout, {
    fleet: Object.keys(pass.state.vms).length,
    due: due.length,
    now: pass.now,
  });
  const best = bestCandidate(pass, due, width);
  if (best !== undefined) {
    startWave(pass, best);
  }
}

function roundHold(pass: Pass): Hold | undefined {
  const { rules } = pass;
  const { rollout, vms } = pass.state;
  if (!rules.enabled) {
    return { rule: "disabled", message: "Maintenance is disabled" };
  }
  const nextAt = rollout.startedAt + rules.periodMs * (1 - ROUND_PERIOD_SHARE);
  const requested = rules.round > rollout.requested;
  if (rollout.round === 0 || requested || pass.now >= nextAt) {
    pass.propose({
      kind: "round.open",
      round: rollout.round + 1,
      requested: Math.max(rules.round, rollout.requested),
      at: pass.now,
    });
    return {
      rule: "round",
      message: `Round ${rollout.round + 1} starts`,
    };
  }
  const done = !Object.values(vms).some((record) => isDue(record, rollout));
  return done
    ? {
      rule: "round",
      figure: pass.now,
      limit: nextAt,
      message:
        `Every VM was maintained in round ${rollout.round}; the next starts in ${
          nextAt - pass.now
        } ms`,
    }
    : undefined;
}

/** The hold after a stopped wave, until its failed VMs are healthy again or a further canary may be tried. */
function pauseHold(pass: Pass): Hold | undefined {
  const { suspects, stops, stoppedAt } = pass.state.rollout;
  if (suspects.length === 0) {
    return undefined;
  }
  const unhealthy = suspects.filter((name) => !isHealthy(pass, name));
  if (unhealthy.length === 0) {
    pass.propose({ kind: "wave.resume", at: pass.now });
    return { rule: "paused", message: "Health has returned; waves resume" };
  }
  const retryAt = stoppedAt + CANARY_RETRY_BAKES * pass.rules.bakeMs;
  if (stops < MAX_CONSECUTIVE_STOPS && pass.now >= retryAt) {
    return undefined;
  }
  return {
    rule: "paused",
    vm: unhealthy[0],
    figure: unhealthy.length,
    limit: 0,
    message:
      `Waves are paused since ${stops} in a row stopped; these VMs are not healthy yet: ${
        unhealthy.join(", ")
      }`,
  };
}

function isHealthy(pass: Pass, name: string): boolean {
  const record = pass.state.vms[name];
  return record === undefined ||
    record.phase === "serving" && pass.hasAnsweredFor(name, pass.rules.bakeMs);
}

function windowHold(pass: Pass): Hold | undefined {
  const leftMs = windowRemainingMs(pass.rules.windows, pass.now);
  const requiredMs = longestStopMs(pass.rules);
  return leftMs >= requiredMs ? undefined : {
    rule: "window",
    figure: leftMs,
    limit: requiredMs,
    message: leftMs === 0
      ? "No maintenance window is open"
      : `The maintenance window ends in ${leftMs} ms and a wave may take ${requiredMs} ms`,
  };
}

interface WaveCandidate {
  domain: string;
  vms: VmRecord[];
  /** Number of urgent VMs. */
  urgent: number;
  /** Whether the domain needs fewer waves afterwards. */
  savesWave: boolean;
  /** Capacity slack of the services during the wave. */
  slack: number;
  /** Time of the last maintenance of the first VM. */
  firstMaintainedAt: number;
}

function bestCandidate(
  pass: Pass,
  due: VmRecord[],
  width: number,
): WaveCandidate | undefined {
  const locationByVm = vmLocations(pass.state);
  let best: WaveCandidate | undefined;
  for (const [domain, records] of groupByDomain(pass, due, locationByVm)) {
    const candidate = selectVms(pass, domain, { records, width });
    if (
      candidate.vms.length > 0 &&
      (best === undefined || isBetter(candidate, best))
    ) {
      best = candidate;
    }
  }
  return best;
}

function groupByDomain(
  pass: Pass,
  due: VmRecord[],
  locationByVm: Map<string, Location>,
): Map<string, VmRecord[]> {
  const groups = new Map<string, VmRecord[]>();
  for (const record of due) {
    const hold = vmHold(pass, record);
    const domain = locationByVm.get(record.name)?.[pass.rules.domain];
    if (hold !== undefined) {
      pass.reportHold(hold);
    } else if (domain !== undefined) {
      const group = groups.get(domain) ?? [];
      group.push(record);
      groups.set(domain, group);
    }
  }
  return groups;
}

/** Why this VM cannot join a wave, regardless of the other VMs in it. */
function vmHold(pass: Pass, record: VmRecord): Hold | undefined {
  const vm = record.name;
  const refusals = pass.state.rollout.refused[vm]?.count ?? 0;
  if (!isServing(record, pass.observation)) {
    return {
      rule: "not_serving",
      vm,
      message: `VM "${vm}" is ${record.phase} and does not serve`,
    };
  }
  if (requestedStop(pass, record) !== undefined) {
    return {
      rule: "not_serving",
      vm,
      message: `VM "${vm}" is about to leave its pool`,
    };
  }
  if (pass.inventoryVms.get(vm)?.agent === undefined) {
    return {
      rule: "agent",
      vm,
      message: `VM "${vm}" has no platform agent that could reboot it`,
    };
  }
  if (refusals >= MAX_REBOOT_REFUSALS) {
    return {
      rule: "refused",
      vm,
      figure: refusals,
      limit: MAX_REBOOT_REFUSALS,
      message:
        `The platform agent refused to reboot VM "${vm}" ${refusals} times in this round`,
    };
  }
  return postponedHold(pass, record);
}

/** Selects VMs of a domain that may stop together, up to the width. */
function selectVms(
  pass: Pass,
  domain: string,
  { records, width }: { records: VmRecord[]; width: number },
): WaveCandidate {
  const selected: VmRecord[] = [];
  for (const record of sortByPriority(pass, records)) {
    if (selected.length === width) {
      pass.reportHold({
        rule: "width",
        domain,
        figure: records.length,
        limit: width,
        message:
          `The next wave takes at most ${width} of the ${records.length} VMs in "${domain}"`,
      });
      break;
    }
    const hold = pass.capacity.holdFor(record);
    if (hold === undefined) {
      pass.capacity.remove(record);
      selected.push(record);
    } else {
      pass.reportHold({ ...hold, domain });
    }
  }
  const slack = pass.capacity.slack();
  selected.forEach((record) => pass.capacity.restore(record));
  const remaining = records.filter((record) => !selected.includes(record));
  return {
    domain,
    vms: selected,
    urgent: selected.filter((record) => isUrgent(pass, record)).length,
    savesWave:
      largestCount(countByPool(remaining)) < largestCount(countByPool(records)),
    slack,
    firstMaintainedAt: selected[0]?.maintainedAt ?? Number.POSITIVE_INFINITY,
  };
}

/**
 * Sorts urgent VMs first, then those of the pool with the most VMs due in the domain. Since VMs of one pool mostly
 * cannot stop together, the largest pool determines how many waves the domain needs (the longest-processing-time rule,
 * Graham, 1969). When moves weigh more than roll-out time, VMs with little work to relocate precede those of the
 * largest pool.
 */
function sortByPriority(pass: Pass, records: VmRecord[]): VmRecord[] {
  const counts = countByPool(records);
  const { moves, rollout } = pass.rules.weights;
  const keys = records.map((record) => {
    const poolRank = -(counts.get(record.pool) ?? 0);
    const work = workload(pass, record);
    const urgent = isUrgent(pass, record) ? 0 : 1;
    const ranks = moves > rollout ? [work, poolRank] : [poolRank, work];
    return { record, ranks: [urgent, ...ranks, record.maintainedAt] };
  });
  keys.sort((a, b) =>
    compareRanks(a.ranks, b.ranks) || (a.record.name < b.record.name ? -1 : 1)
  );
  return keys.map(({ record }) => record);
}

function workload(pass: Pass, record: VmRecord): number {
  const condition = pass.condition(record.name);
  return (condition?.inFlight ?? 0) + (condition?.tasks ?? 0);
}

function compareRanks(a: number[], b: number[]): number {
  const index = a.findIndex((rank, i) => rank !== b[i]);
  return (a[index] ?? 0) - (b[index] ?? 0);
}

function isUrgent(pass: Pass, record: VmRecord): boolean {
  const before = pass.now - pass.rules.periodMs * (1 - URGENT_PERIOD_SHARE);
  return record.maintainedAt > 0 && record.maintainedAt < before;
}

/** Number of these VMs by pool. */
function countByPool(records: VmRecord[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { pool } of records) {
    counts.set(pool, (counts.get(pool) ?? 0) + 1);
  }
  return counts;
}

function largestCount(counts: Map<string, number>): number {
  return Math.max(0, ...counts.values());
}

/** Prefers more urgent VMs, then more VMs, a saved wave, more slack and the longest time since maintenance. */
function isBetter(a: WaveCandidate, b: WaveCandidate): boolean {
  const order = b.urgent - a.urgent || b.vms.length - a.vms.length ||
    Number(b.savesWave) - Number(a.savesWave) ||
    b.slack - a.slack || a.firstMaintainedAt - b.firstMaintainedAt;
  return order < 0;
}

function startWave(pass: Pass, candidate: WaveCandidate): void {
  const { rollout } = pass.state;
  pass.propose({
    kind: "wave.start",
    id: rollout.lastWave + 1,
    domain: candidate.domain,
    canary: rollout.passed === 0,
    vms: candidate.vms.map((record) => record.name),
    at: pass.now,
  });
}
