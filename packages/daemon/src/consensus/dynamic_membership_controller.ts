/**
 * Membership of a replica group whose members discover each other at run time: new replicas join, and lost voters are
 * replaced.
 *
 * @module
 */
import {
  Err,
  type Fault,
  fault,
  type MembershipChange,
  type MemberView,
  nextMembershipChange,
  parse,
  type ReplacementRules,
  type Result,
} from "@quetzalcove/core";
import type { LeaderClient } from "../entry/leader_client.ts";
import { type Component, ticker } from "../lifecycle.ts";
import type { Handler, Handlers } from "../link/connection.ts";
import type { Log } from "../observe/log.ts";
import { addReplica, isMember, JoinRequest } from "./joining.ts";
import type { RaftDriver } from "./raft_driver.ts";

/** Dependencies of the dynamic membership controller. */
export interface DynamicMembershipControllerParts {
  replica: Pick<
    RaftDriver<never, never, never>,
    "leadership" | "replicas" | "silentTimes" | "changeMembership"
  >;
  /** This replica as it asks to join. */
  self: JoinRequest;
  rules: ReplacementRules;
  leader: LeaderClient;
  /** Called with the hosts of all members after each change. */
  onMembers: (hosts: readonly string[]) => void;
  log: Log;
}

/** Interval at which the membership is compared with the wanted one. */
const RECONCILE_INTERVAL_MS = 300;
const CALL_TIMEOUT_MS = 1_000;

export class DynamicMembershipController implements Component {
  readonly name = "assembly";
  readonly #parts: DynamicMembershipControllerParts;
  readonly #ticker: Component;
  #reportedHosts = "";

  constructor(parts: DynamicMembershipControllerParts) {
    this.#parts = parts;
    this.#ticker = ticker(
      "assembly",
      RECONCILE_INTERVAL_MS,
      () => this.#reconcile(),
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
    ]);
  }

  async #reconcile(): Promise<void> {
    const { replica, self } = this.#parts;
    this.#reportMembers();
    if (replica.leadership().isLeader) {
      this.#changeMembershipIfNeeded();
    } else if (!isMember(replica, self.replica)) {
      await this.#requestToJoin();
    }
  }

  #reportMembers(): void {
    const { replica, self, onMembers } = this.#parts;
    const hosts = [
      ...new Set([
        self.entry,
        ...replica.replicas().map(({ entry }) => entry),
      ]),
    ];
    const isFormed = hosts.length > 1;
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
    const { isLeader, leader } = replica.leadership();
    if (!isLeader) {
      const message = "This replica does not lead";
      return Err(
        leader === undefined
          ? fault("no_leader", message, { outcome: "not run" })
          : fault("not_leader", message, { outcome: "not run", leader }),
      );
    }
    return parse(JoinRequest, params, "join").andThen((request) =>
      addReplica(replica, request, log)
    );
  }

  #changeMembershipIfNeeded(): void {
    const { replica, rules, log } = this.#parts;
    const change = nextMembershipChange(this.#members(), rules);
    if (change !== undefined) {
      const changed = replica.changeMembership(change);
      log.info("replica.membership", {
        change: change.kind,
        replica: replicaOf(change),
        outcome: changed.ok ? "started" : changed.val.message,
      });
    }
  }

  #members(): MemberView[] {
    const { replica, self } = this.#parts;
    const silentTimes = replica.silentTimes();
    return replica.replicas().map((member) => ({
      replica: member.replica,
      entry: member.entry,
      isVoter: member.role !== "learner",
      isCaughtUp: member.caughtUp,
      silentMs: member.replica === self.replica
        ? 0
        : silentTimes.get(member.replica) ?? 0,
    }));
  }
}

function replicaOf(change: MembershipChange): string {
  return change.kind === "add" ? change.member.replica : change.replica;
}
