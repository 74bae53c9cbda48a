/**
 * Membership of a replica group whose members discover each other at run time: new replicas join, and lost voters are
 * replaced.
 *
 * @module
 */
import {
  departureOf,
  Err,
  type Fault,
  fault,
  lostMembers,
  type MembershipChange,
  type MemberView,
  nextMembershipChange,
  Ok,
  parse,
  type ReplacementRules,
  ReplicaId,
  type Result,
} from "@quetzalcove/core";
import { z } from "zod";
import type { Clock } from "../clock.ts";
import type { LeaderClient } from "../entry/leader_client.ts";
import { type Component, ticker } from "../lifecycle.ts";
import type { Handler, Handlers } from "../link/connection.ts";
import type { Log } from "../observe/log.ts";
import type { Metrics } from "../observe/metrics.ts";
import { addReplica, isMember, JoinRequest } from "./joining.ts";
import type { RaftDriver } from "./raft_driver.ts";

/** Dependencies of the dynamic membership controller. */
export interface DynamicMembershipControllerParts {
  replica: Pick<
    RaftDriver<never, never, never>,
    "leadership" | "replicas" | "contactTimes" | "changeMembership"
  >;
  /** This replica as it asks to join. */
  self: JoinRequest;
  rules: ReplacementRules;
  /** Hosts at which replicas may be found if none of the known members leads. */
  seeds: readonly string[];
  leader: Pick<LeaderClient, "call">;
  /** Called with the hosts of all members after each change. */
  onMembers: (hosts: readonly string[]) => void;
  clock: Pick<Clock, "monotonic">;
  log: Log;
  metrics: Pick<Metrics, "gauge">;
}

/** Body of a `leave` call: the replica that is about to stop. */
const LeaveRequest = z.object({ replica: ReplicaId });

/** Interval at which the membership is compared with the wanted one. */
const RECONCILE_INTERVAL_MS = 100;
const CALL_TIMEOUT_MS = 1_000;

/** Time without a leader after which a member asks to join; longer than an election, which needs the processor. */
const LEADERLESS_TIMEOUT_MS = 1_500;

export class DynamicMembershipController implements Component {
  readonly name = "assembly";
  readonly #parts: DynamicMembershipControllerParts;
  readonly #ticker: Component;
  #reportedHosts = "";
  #loggedVoters = "";
  /** Monotonic time since which no leader is known; undefined if one is. */
  #leaderlessSince: number | undefined;

  constructor(parts: DynamicMembershipControllerParts) {
    this.#parts = parts;
    this.#ticker = ticker(
      "assembly",
      RECONCILE_INTERVAL_MS,
      () => this.#reconcile(),
    );
    parts.metrics.gauge("quetzalcove_voters", () => this.#voters().length);
    parts.metrics.gauge(
      "quetzalcove_voters_silent",
      () => this.#silentVoters().length,
    );
  }

  start(): Promise<void> {
    return this.#ticker.start();
  }

  stop(): Promise<void> {
    return this.#ticker.stop();
  }

  /** Handlers of the methods that other replicas call. */
  handlers(): Handlers {
    return new Map<string, Handler>([
      ["join", (params) => Promise.resolve(this.#join(params))],
      ["leave", (params) => Promise.resolve(this.#leave(params))],
    ]);
  }

  /** Before a planned stop: gives the vote of this replica to a learner that can take its place, if there is one. */
  async leave(): Promise<void> {
    const { self, leader, log } = this.#parts;
    const { replica } = self;
    const answer = await leader.call("leave", { replica }, CALL_TIMEOUT_MS);
    log.info("replica.leaves", {
      replica,
      outcome: answer.ok ? "answered" : answer.val.message,
    });
  }

  async #reconcile(): Promise<void> {
    const { replica, self, clock } = this.#parts;
    const { isLeader, leader } = replica.leadership();
    const now = clock.monotonic();
    this.#leaderlessSince = leader === undefined
      ? this.#leaderlessSince ?? now
      : undefined;
    const isLeaderless = now - (this.#leaderlessSince ?? now) >
      LEADERLESS_TIMEOUT_MS;
    this.#reportMembers(isLeaderless ? this.#parts.seeds : []);
    if (isLeader) {
      this.#logVoters();
      this.#changeMembershipIfNeeded();
    } else if (!isMember(replica, self.replica) || isLeaderless) {
      // A replica that was removed while it was away is told nothing. A member that asks stays what it is.
      await this.#requestToJoin();
    }
  }

  /** Reports the hosts of the members; they may all have been replaced if none of them leads. */
  #reportMembers(fallback: readonly string[]): void {
    const { replica, self, onMembers } = this.#parts;
    const members = replica.replicas().map(({ entry }) => entry);
    const isFormed = members.some((entry) => entry !== self.entry);
    const hosts = [...new Set([self.entry, ...members, ...fallback])];
    if (isFormed && hosts.join() !== this.#reportedHosts) {
      this.#reportedHosts = hosts.join();
      onMembers(hosts);
    }
  }

  async #requestToJoin(): Promise<void> {
    const { self, leader, log } = this.#parts;
    const answer = await leader.call("join", self, CALL_TIMEOUT_MS);
    log.info("replica.join_asked", {
      replica: self.replica,
      outcome: answer.ok ? "taken" : answer.val.kind,
    });
  }

  #join(params: unknown): Result<unknown, Fault> {
    const { replica, log } = this.#parts;
    return this.#asLeader(() =>
      parse(JoinRequest, params, "join").andThen((request) =>
        addReplica(replica, request, log)
      )
    );
  }

  #leave(params: unknown): Result<unknown, Fault> {
    const { rules } = this.#parts;
    return this.#asLeader(() =>
      parse(LeaveRequest, params, "leave").andThen((request) => {
        const change = departureOf(request.replica, this.#members(), rules);
        return change === undefined ? Ok({}) : this.#change(change);
      })
    );
  }

  #asLeader(
    handle: () => Result<unknown, Fault>,
  ): Result<unknown, Fault> {
    const { isLeader, leader } = this.#parts.replica.leadership();
    if (isLeader) {
      return handle();
    }
    const message = "This replica does not lead";
    return Err(
      leader === undefined
        ? fault("no_leader", message, { outcome: "not run" })
        : fault("not_leader", message, { outcome: "not run", leader }),
    );
  }

  #changeMembershipIfNeeded(): void {
    const change = nextMembershipChange(this.#members(), this.#parts.rules);
    if (change !== undefined) {
      this.#change(change);
    }
  }

  #change(change: MembershipChange): Result<unknown, Fault> {
    const { replica, log } = this.#parts;
    const changed = replica.changeMembership(change);
    log.info("replica.membership", {
      change: change.kind,
      replica: replicaOf(change),
      outcome: changed.ok ? "started" : changed.val.message,
    });
    return changed.map(() => ({}));
  }

  /** Logs how many of the voters answer, when that changes: it tells how many more may be lost. */
  #logVoters(): void {
    const { rules, log } = this.#parts;
    const voters = this.#voters().length;
    const silent = this.#silentVoters().map(({ replica }) => replica).join();
    const state = `${voters} ${silent}`;
    if (state !== this.#loggedVoters) {
      this.#loggedVoters = state;
      log.info("group.voters", {
        wanted: rules.voters,
        voters,
        silent: silent === "" ? undefined : silent,
      });
    }
  }

  #voters(): MemberView[] {
    return this.#members().filter(({ isVoter }) => isVoter);
  }

  /** Voters that do not answer; only the leader knows of any. */
  #silentVoters(): MemberView[] {
    return lostMembers(this.#voters(), this.#parts.rules.lostAfterMs);
  }

  #members(): MemberView[] {
    const { replica } = this.#parts;
    const times = replica.contactTimes();
    return replica.replicas().map((member) => ({
      replica: member.replica,
      entry: member.entry,
      isVoter: member.role !== "learner",
      isCaughtUp: member.caughtUp,
      // The leader itself has no such times.
      ...times.get(member.replica) ?? { silentMs: 0, trackedMs: Infinity },
    }));
  }
}

function replicaOf(change: MembershipChange): string {
  return change.kind === "add" ? change.member.replica : change.replica;
}
