/**
 * How replicas that find each other at run time form and keep a group: joining, replacement of lost voters.
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
import { admit, Applicant, isMember } from "./joining.ts";
import type { ReplicaTask } from "./replica_task.ts";

/** What an assembly needs. */
export interface AssemblyParts {
  replica: Pick<
    ReplicaTask<never, never, never>,
    "leadership" | "replicas" | "silences" | "changeMembership"
  >;
  /** How the others reach this replica. */
  self: Applicant;
  rules: ReplacementRules;
  leader: LeaderClient;
  /** Called with the machines of all members after each change. */
  onMembers: (hosts: readonly string[]) => void;
  log: Log;
}

/** Interval of steps towards the wanted group, in milliseconds. */
const STEP_MS = 300;
const CALL_MS = 1_000;

export class Assembly implements Component {
  readonly name = "assembly";
  readonly #parts: AssemblyParts;
  readonly #ticker: Component;
  #hosts = "";

  constructor(parts: AssemblyParts) {
    this.#parts = parts;
    this.#ticker = ticker("assembly", STEP_MS, () => this.#step());
  }

  start(): Promise<void> {
    return this.#ticker.start();
  }

  stop(): Promise<void> {
    return this.#ticker.stop();
  }

  /** The methods that other replicas call. */
  handlers(): Handlers {
    return new Map<string, Handler>([
      ["join", (params) => Promise.resolve(this.#join(params))],
    ]);
  }

  async #step(): Promise<void> {
    const { replica, self } = this.#parts;
    this.#followMembers();
    if (replica.leadership().isLeader) {
      this.#arrange();
    } else if (!isMember(replica, self.replica)) {
      await this.#askToJoin();
    }
  }

  #followMembers(): void {
    const { replica, self, onMembers } = this.#parts;
    const hosts = [
      ...new Set([
        self.entry,
        ...replica.replicas().map(({ entry }) => entry),
      ]),
    ];
    const isFormed = hosts.length > 1;
    if (isFormed && hosts.join() !== this.#hosts) {
      this.#hosts = hosts.join();
      onMembers(hosts);
    }
  }

  async #askToJoin(): Promise<void> {
    const { self, leader, log } = this.#parts;
    const answer = await leader.call("join", self, CALL_MS);
    log.info("replica.join_asked", {
      replica: self.replica,
      outcome: answer.ok ? "taken" : answer.val.kind,
    });
  }

  #join(params: unknown): Result<unknown, Fault> {
    const { replica, log } = this.#parts;
    const { isLeader, leader } = replica.leadership();
    if (!isLeader) {
      const what = "This replica does not lead";
      return Err(
        leader === undefined
          ? fault("no_leader", what, { outcome: "not run" })
          : fault("not_leader", what, { outcome: "not run", leader }),
      );
    }
    return parse(Applicant, params, "join").andThen((applicant) =>
      admit(replica, applicant, log)
    );
  }

  #arrange(): void {
    const { replica, rules, log } = this.#parts;
    const change = nextMembershipChange(this.#members(), rules);
    if (change !== undefined) {
      const changed = replica.changeMembership(change);
      log.info("replica.membership", {
        change: change.kind,
        replica: nameOf(change),
        outcome: changed.ok ? "started" : changed.val.message,
      });
    }
  }

  #members(): MemberView[] {
    const { replica, self } = this.#parts;
    const silences = replica.silences();
    return replica.replicas().map((member) => ({
      replica: member.replica,
      entry: member.entry,
      isVoter: member.role !== "learner",
      isCaughtUp: member.caughtUp,
      silentMs: member.replica === self.replica
        ? 0
        : silences.get(member.replica) ?? 0,
    }));
  }
}

function nameOf(change: MembershipChange): string {
  return change.kind === "add" ? change.member.replica : change.replica;
}
