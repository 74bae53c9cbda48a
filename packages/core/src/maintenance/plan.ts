/**
 * Starts rounds and waves. A wave stays inside one failure domain and takes only VMs without which, and after the
 * worst further single loss, every service still has what it needs. A wave that never comes back therefore leaves
 * enough as well.
 *
 * @module
 */
import type { VmRecord } from "../fleet.ts";
import { type Location, locations, serves } from "./capacity.ts";
import type { Hold } from "./observation.ts";
import type { Pass } from "./pass.ts";
import { isDue, STOPS_UNTIL_HEALTHY } from "./rollout.ts";
import { postponement, requestedStop } from "./transfer.ts";
import { longestStopMs, ROUND_SHARE, waveWidth } from "./width.ts";
import { remainingMs } from "./window.ts";

/** After a canary failed, the next is tried when this many bake times have passed. */
const RETRY_BAKES = 10;
/** Reboots that an agent may refuse before an operator has to look at the VM. */
const MAX_REFUSALS = 3;
/** A VM counts as urgent when less than this share of the period is left for it. */
const URGENT_SHARE = 0.125;

/** Starts the next wave, or reports what holds it back. */
export function planWave(pass: Pass): void {
  const hold = roundHold(pass) ?? pauseHold(pass) ?? windowHold(pass);
  if (hold !== undefined) {
    pass.hold(hold);
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
  const best = bestGroup(pass, due, width);
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
  const nextAt = rollout.startedAt + rules.periodMs * (1 - ROUND_SHARE);
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

/** Holds after a wave stopped, until its failed VMs are healthy again. */
function pauseHold(pass: Pass): Hold | undefined {
  const { suspects, stops, stoppedAt } = pass.state.rollout;
  if (suspects.length === 0) {
    return undefined;
  }
  const ill = suspects.filter((name) => !isHealthy(pass, name));
  if (ill.length === 0) {
    pass.propose({ kind: "wave.resume", at: pass.now });
    return { rule: "paused", message: "Health has returned; waves resume" };
  }
  const retryAt = stoppedAt + RETRY_BAKES * pass.rules.bakeMs;
  if (stops < STOPS_UNTIL_HEALTHY && pass.now >= retryAt) {
    return undefined;
  }
  return {
    rule: "paused",
    vm: ill[0],
    figure: ill.length,
    limit: 0,
    message:
      `Waves are paused since ${stops} in a row stopped; these VMs are not healthy yet: ${
        ill.join(", ")
      }`,
  };
}

function isHealthy(pass: Pass, name: string): boolean {
  const record = pass.state.vms[name];
  return record === undefined ||
    record.phase === "serving" && pass.liveFor(name, pass.rules.bakeMs);
}

function windowHold(pass: Pass): Hold | undefined {
  const left = remainingMs(pass.rules.windows, pass.now);
  const required = longestStopMs(pass.rules);
  return left >= required ? undefined : {
    rule: "window",
    figure: left,
    limit: required,
    message: left === 0
      ? "No maintenance window is open"
      : `The maintenance window ends in ${left} ms and a wave may take ${required} ms`,
  };
}

interface Group {
  domain: string;
  vms: VmRecord[];
  urgent: number;
  /** Whether fewer waves are left in the domain afterwards. */
  shortens: boolean;
  slack: number;
  oldest: number;
}

function bestGroup(
  pass: Pass,
  due: VmRecord[],
  width: number,
): Group | undefined {
  const places = locations(pass.state);
  let best: Group | undefined;
  for (const [domain, records] of byDomain(pass, due, places)) {
    const group = choose(pass, domain, { records, width });
    if (group.vms.length > 0 && (best === undefined || precedes(group, best))) {
      best = group;
    }
  }
  return best;
}

function byDomain(
  pass: Pass,
  due: VmRecord[],
  places: Map<string, Location>,
): Map<string, VmRecord[]> {
  const groups = new Map<string, VmRecord[]>();
  for (const record of due) {
    const hold = vmHold(pass, record);
    const domain = places.get(record.name)?.[pass.rules.domain];
    if (hold !== undefined) {
      pass.hold(hold);
    } else if (domain !== undefined) {
      const group = groups.get(domain) ?? [];
      group.push(record);
      groups.set(domain, group);
    }
  }
  return groups;
}

/** What holds back this VM whatever else the wave takes. */
function vmHold(pass: Pass, record: VmRecord): Hold | undefined {
  const vm = record.name;
  const refusals = pass.state.rollout.refused[vm]?.count ?? 0;
  if (!serves(record, pass.observation)) {
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
  if (pass.listed.get(vm)?.agent === undefined) {
    return {
      rule: "agent",
      vm,
      message: `VM "${vm}" has no platform agent that could reboot it`,
    };
  }
  if (refusals >= MAX_REFUSALS) {
    return {
      rule: "refused",
      vm,
      figure: refusals,
      limit: MAX_REFUSALS,
      message:
        `The platform agent refused to reboot VM "${vm}" ${refusals} times in this round`,
    };
  }
  return postponement(pass, record);
}

/** Takes the VMs of a domain that may stop together, up to the width. */
function choose(
  pass: Pass,
  domain: string,
  { records, width }: { records: VmRecord[]; width: number },
): Group {
  const taken: VmRecord[] = [];
  for (const record of inOrder(pass, records)) {
    if (taken.length === width) {
      pass.hold({
        rule: "width",
        domain,
        figure: records.length,
        limit: width,
        message:
          `The next wave takes at most ${width} of the ${records.length} VMs in "${domain}"`,
      });
      break;
    }
    const hold = pass.capacity.refusal(record);
    if (hold === undefined) {
      pass.capacity.take(record);
      taken.push(record);
    } else {
      pass.hold({ ...hold, domain });
    }
  }
  const slack = pass.capacity.slack();
  taken.forEach((record) => pass.capacity.put(record));
  const left = records.filter((record) => !taken.includes(record));
  return {
    domain,
    vms: taken,
    urgent: taken.filter((record) => isUrgent(pass, record)).length,
    shortens: longest(chains(left)) < longest(chains(records)),
    slack,
    oldest: taken[0]?.maintainedAt ?? Number.POSITIVE_INFINITY,
  };
}

/**
 * Urgent VMs first, then those of the pool with the most VMs left in the domain. Since VMs of one pool mostly cannot
 * stop together, that pool decides how many waves the domain needs (the longest-processing-time rule, Graham, 1969).
 * When moves weigh more than roll-out time, VMs with little work to relocate go before those of the largest pool.
 */
function inOrder(pass: Pass, records: VmRecord[]): VmRecord[] {
  const left = chains(records);
  const { moves, rollout } = pass.rules.weights;
  const keys = records.map((record) => {
    const chain = -(left.get(record.pool) ?? 0);
    const work = workOn(pass, record);
    const urgent = isUrgent(pass, record) ? 0 : 1;
    const ranks = moves > rollout ? [work, chain] : [chain, work];
    return { record, ranks: [urgent, ...ranks, record.maintainedAt] };
  });
  keys.sort((a, b) =>
    compareRanks(a.ranks, b.ranks) || (a.record.name < b.record.name ? -1 : 1)
  );
  return keys.map(({ record }) => record);
}

function workOn(pass: Pass, record: VmRecord): number {
  const condition = pass.condition(record.name);
  return (condition?.inFlight ?? 0) + (condition?.tasks ?? 0);
}

function compareRanks(a: number[], b: number[]): number {
  const index = a.findIndex((rank, i) => rank !== b[i]);
  return (a[index] ?? 0) - (b[index] ?? 0);
}

function isUrgent(pass: Pass, record: VmRecord): boolean {
  const before = pass.now - pass.rules.periodMs * (1 - URGENT_SHARE);
  return record.maintainedAt > 0 && record.maintainedAt < before;
}

/** How many VMs each pool has among these. */
function chains(records: VmRecord[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { pool } of records) {
    counts.set(pool, (counts.get(pool) ?? 0) + 1);
  }
  return counts;
}

function longest(counts: Map<string, number>): number {
  return Math.max(0, ...counts.values());
}

/** Urgent VMs first, then the widest group, the one that saves a wave, that leaves most, that waited longest. */
function precedes(a: Group, b: Group): boolean {
  const order = b.urgent - a.urgent || b.vms.length - a.vms.length ||
    Number(b.shortens) - Number(a.shortens) ||
    b.slack - a.slack || a.oldest - b.oldest;
  return order < 0;
}

function startWave(pass: Pass, group: Group): void {
  const { rollout } = pass.state;
  pass.propose({
    kind: "wave.start",
    id: rollout.lastWave + 1,
    domain: group.domain,
    canary: rollout.passed === 0,
    vms: group.vms.map((record) => record.name),
    at: pass.now,
  });
}
