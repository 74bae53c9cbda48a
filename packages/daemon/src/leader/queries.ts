/**
 * Answers of the leader to reads of the admin API.
 *
 * @module
 */
import {
  attemptOf,
  type Explanation,
  groupBy,
  type Hold,
  JobFilter,
  listJobs,
  spendingOf,
  type State,
  type VmRecord,
} from "@quetzalcove/core";
import { z } from "zod";
import type { Leadership, ReplicaStatus } from "../consensus/consensus.ts";
import type { LeaderTermState } from "./leader_term_state.ts";

export const Query = z.discriminatedUnion("what", [
  z.object({ what: z.literal("status") }),
  z.object({ what: z.literal("configuration") }),
  z.object({ what: z.literal("force"), revision: z.number().int() }),
  z.object({ what: z.literal("vms") }),
  z.object({ what: z.literal("services") }),
  z.object({ what: z.literal("requests"), phase: z.string().optional() }),
  z.object({ what: z.literal("replicas") }),
  z.object({ what: z.literal("waves") }),
  JobFilter.extend({ what: z.literal("jobs") }),
  z.object({ what: z.literal("job"), id: z.string() }),
  z.object({ what: z.literal("holding"), key: z.string() }),
]);
export type Query = z.infer<typeof Query>;

/** What queries are answered from. */
export interface QueryContext {
  state: State;
  termState: LeaderTermState;
  leadership: Leadership;
  replicas: ReplicaStatus[];
  /** Why planned stops and waves do not proceed, from the last maintenance pass. */
  holds: readonly Hold[];
  /** Explains the state of a job. */
  explain: (job: string) => Explanation;
  /** Monotonic time in milliseconds. */
  now: number;
  /** Wall-clock time in milliseconds. */
  at: number;
}

/** Answers one query. */
export function answerQuery(query: Query, context: QueryContext): unknown {
  switch (query.what) {
    case "status":
      return status(context);
    case "configuration":
      return configuration(context.state);
    case "force":
      return {
        revision: query.revision,
        ...context.termState.leases.revisionInForceView(
          query.revision,
          context.now,
        ),
      };
    case "vms":
      return vms(context);
    case "services":
      return services(context);
    case "requests":
      return requests(context.state, query.phase);
    case "replicas":
      return { replicas: context.replicas };
    case "jobs":
      return listJobs(context.state.jobs, query);
    case "job":
      return context.explain(query.id);
    case "waves":
      return waves(context);
    case "holding": {
      const attempt = attemptOf(context.state.ledger, query.key);
      return { phase: attempt?.phase ?? "none", attempt: attempt?.attempt };
    }
  }
}

function status({ state, termState, leadership, now }: QueryContext): unknown {
  const open = Object.values(state.ledger.open);
  return {
    version: state.version,
    revision: state.revision,
    inForceRevision: termState.leases.revisionInForce(state.revision, now),
    leader: leadership.leader ?? null,
    term: leadership.term,
    requests: termState.requestsByOutcome(),
    entries: termState.leases.records().map((record) => ({
      entry: record.entry,
      zone: record.zone,
      incarnation: record.incarnation,
      leaseMs: Math.round(termState.leases.remainingMs(record, now)),
      revision: record.revision,
      stopping: record.stopping,
    })),
    counts: {
      vms: Object.keys(state.vms).length,
      targets: termState.targets.targets().length,
      attemptsRunning:
        open.filter((attempt) => attempt.phase === "running").length,
      attemptsUnknown:
        open.filter((attempt) => attempt.phase === "unknown").length,
    },
  };
}

function configuration(state: State): unknown {
  const { version, revision, inventory, rules } = state;
  return { version, revision, inventory, rules };
}

function vms({ state, termState }: QueryContext): unknown {
  const byVm = groupBy(termState.targets.targets(), ({ vm }) => vm);
  const rackZones = new Map(
    state.inventory.racks.map((rack) => [rack.name, rack.zone]),
  );
  const listed = new Map(state.inventory.vms.map((vm) => [vm.name, vm]));
  const rows = Object.values(state.vms).map((record: VmRecord) => {
    const vm = listed.get(record.name);
    const targets = byVm.get(record.name) ?? [];
    return {
      ...record,
      rack: vm?.rack ?? null,
      zone: rackZones.get(vm?.rack ?? "") ?? null,
      desiredPool: vm?.pool ?? null,
      announced: targets.length > 0,
      inFlight: inFlightOf(record.name, termState),
      targets,
    };
  });
  const unknownTargets = termState.targets.targets().filter((target) =>
    state.vms[target.vm] === undefined
  );
  return { vms: rows, unknownTargets };
}

function inFlightOf(vm: string, termState: LeaderTermState): number {
  return termState.leases.records().reduce(
    (sum, record) => sum + (record.inFlight[vm] ?? 0),
    0,
  );
}

function services({ state, termState, at }: QueryContext): unknown {
  const targets = termState.targets.targets();
  const rows = state.rules.services.map((service) => {
    const serving = targets.filter((target) => {
      const vm = state.vms[target.vm];
      return target.service === service.name &&
        target.condition === "serving" &&
        vm?.phase === "serving" && vm.pool === service.pool;
    });
    const usage = termState.leases.records().map((record) =>
      record.usage[service.name]
    );
    return {
      name: service.name,
      pool: service.pool,
      targetsServing: serving.length,
      slots: serving.reduce((sum, target) => sum + target.slots, 0),
      inFlight: usage.reduce((sum, use) => sum + (use?.inFlight ?? 0), 0),
      queued: usage.reduce((sum, use) => sum + (use?.queued ?? 0), 0),
      budgetLeft:
        spendingOf(state.accounts.services[service.name], service.budget, at)
          .left,
    };
  });
  return { services: rows };
}

function waves({ state, holds }: QueryContext): unknown {
  const { wave, round, startedAt, stops } = state.rollout;
  const due =
    Object.values(state.vms).filter((vm) => vm.maintainedAt < startedAt).length;
  return { round, due, stops, waves: wave === null ? [] : [wave], holds };
}

function requests(state: State, phase: string | undefined): unknown {
  const all = [
    ...Object.values(state.ledger.open),
    ...Object.values(state.ledger.closed),
  ];
  const attempts = all.filter((attempt) =>
    phase === undefined || attempt.phase === phase
  );
  return { attempts };
}
