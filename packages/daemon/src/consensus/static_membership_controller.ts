/**
 * Membership of a cluster whose replicas are listed in the settings: the first start, new replicas that join, and the
 * replacement of a replica whose disk was lost.
 *
 * @module
 */
import {
  type Command,
  type CommandOutput,
  Err,
  type Fault,
  fault,
  Ok,
  parse,
  type Result,
  type Settings,
  type State,
} from "@quetzalcove/core";
import { z } from "zod";
import type { LeaderClient } from "../entry/leader_client.ts";
import { type Component, ticker } from "../lifecycle.ts";
import type { Handler, Handlers } from "../link/connection.ts";
import type { Link } from "../link/link.ts";
import type { Log } from "../observe/log.ts";
import type { ReplicaStatus } from "./consensus.ts";
import { addReplica, isMember, JoinRequest } from "./joining.ts";
import type { RaftDriver } from "./raft_driver.ts";

/** Dependencies of the static membership controller. */
export interface StaticMembershipControllerParts {
  settings: Settings;
  replica: RaftDriver<State, Command, CommandOutput>;
  links: ReadonlyMap<string, Link>;
  leader: LeaderClient;
  log: Log;
}

const ReplicaDescription = z.object({
  replica: z.string(),
  isFormed: z.boolean(),
});

const ReplicaName = z.object({ replica: z.string() });
const EntryName = z.object({ entry: z.string() });

/** Interval at which the membership is compared with the configured replicas. */
const RECONCILE_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 1_000;

export class StaticMembershipController implements Component {
  readonly name = "formation";
  readonly #parts: StaticMembershipControllerParts;
  readonly #ticker: Component;

  constructor(parts: StaticMembershipControllerParts) {
    this.#parts = parts;
    this.#ticker = ticker(
      "formation",
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

  /** Handlers of the methods that other daemons call. */
  handlers(): Handlers {
    return new Map<string, Handler>([
      ["join", (params) => Promise.resolve(this.#join(params))],
      ["describe_replica", () => Promise.resolve(Ok(this.#describe()))],
      ["init", () => this.init()],
      ["remove_replica", (params) => Promise.resolve(this.#remove(params))],
      ["transfer", (params) => Promise.resolve(this.#transfer(params))],
    ]);
  }

  /**
   * Initializes the cluster, once. Only the first configured replica does so, and only while a majority of the
   * configured replicas reports that it belongs to no cluster; other daemons pass the call on.
   */
  async init(): Promise<Result<unknown, Fault>> {
    const { settings, replica, links } = this.#parts;
    const bootstrapEntry = replicaEntryNames(settings)[0] ?? settings.entry;
    if (bootstrapEntry !== settings.entry) {
      const link = links.get(bootstrapEntry);
      return await (link?.request("init", {}, CALL_TIMEOUT_MS) ??
        Err(
          fault(
            "not_found",
            `No link to "${bootstrapEntry}", which starts the cluster`,
          ),
        ));
    }
    if (replica.isFormed) {
      return Err(alreadyFormedFault(settings.entry));
    }
    const checked = await this.#checkOthersAreUnformed();
    if (checked.err) {
      return checked;
    }
    return (await replica.bootstrap()).map(() => ({ founder: bootstrapEntry }));
  }

  async #checkOthersAreUnformed(): Promise<Result<void, Fault>> {
    const { settings, links } = this.#parts;
    const others = replicaEntryNames(settings).filter((entry) =>
      entry !== settings.entry
    );
    const answers = await Promise.all(others.map(async (entry) => {
      const answer = await links.get(entry)?.request(
        "describe_replica",
        {},
        CALL_TIMEOUT_MS,
      );
      const description = answer?.ok
        ? ReplicaDescription.safeParse(answer.val)
        : undefined;
      return { entry, isFormed: description?.data?.isFormed };
    }));
    const formed = answers.find((answer) => answer.isFormed === true);
    if (formed !== undefined) {
      return Err(alreadyFormedFault(formed.entry));
    }
    const answered = 1 +
      answers.filter((answer) => answer.isFormed === false).length;
    const needed = Math.floor((others.length + 1) / 2) + 1;
    return answered >= needed ? Ok.EMPTY : Err(
      fault(
        "no_leader",
        `Only ${answered} of ${others.length + 1} replicas answer`,
        {
          remedy: `Start at least ${needed} replicas, then run init again`,
        },
      ),
    );
  }

  #describe(): z.infer<typeof ReplicaDescription> {
    const { replica } = this.#parts;
    return { replica: replica.replica, isFormed: replica.isFormed };
  }

  async #reconcile(): Promise<void> {
    const { replica } = this.#parts;
    const { isLeader } = replica.leadership();
    if (isLeader) {
      this.#changeMembershipIfNeeded();
    } else if (!isMember(replica, replica.replica)) {
      await this.#requestToJoin();
    }
  }

  async #requestToJoin(): Promise<void> {
    const { settings, replica, leader, log } = this.#parts;
    const { entry, zone, listen } = settings;
    const request = {
      replica: replica.replica,
      entry,
      zone,
      address: listen.link,
    };
    const answer = await leader.call("join", request, CALL_TIMEOUT_MS);
    log.debug("replica.join", { ok: answer.ok });
  }

  #remove(params: unknown): Result<unknown, Fault> {
    return parse(ReplicaName, params, "remove").andThen(({ replica }) => {
      return this.#parts.replica.changeMembership({ kind: "remove", replica });
    });
  }

  #transfer(params: unknown): Result<unknown, Fault> {
    return parse(EntryName, params, "transfer").andThen(({ entry }) => {
      return this.#parts.replica.transfer(entry);
    });
  }

  #join(params: unknown): Result<unknown, Fault> {
    const { replica, settings, log } = this.#parts;
    const { isLeader, leader } = replica.leadership();
    if (!isLeader) {
      return Err(
        fault("not_leader", `Entry "${settings.entry}" does not lead`, {
          leader,
        }),
      );
    }
    return parse(JoinRequest, params, "join").andThen(
      (member): Result<unknown, Fault> => {
        if (!replicaEntryNames(settings).includes(member.entry)) {
          return Err(
            fault(
              "not_found",
              `Entry "${member.entry}" is not a configured replica`,
              {
                remedy:
                  "Set replica to true for it in the peers of every settings file",
              },
            ),
          );
        }
        return addReplica(replica, member, log);
      },
    );
  }

  /** Starts the next membership change: promotes a learner that has caught up, then removes the replica it replaces. */
  #changeMembershipIfNeeded(): void {
    const { replica, log } = this.#parts;
    const members = replica.replicas();
    const learner = members.find((member) =>
      member.role === "learner" && member.caughtUp
    );
    const superseded = members.find((member) => isSuperseded(member, members));
    if (learner !== undefined) {
      const promoted = replica.changeMembership({
        kind: "promote",
        replica: learner.replica,
      });
      log.info("replica.promoted", {
        replica: learner.replica,
        ok: promoted.ok,
      });
    } else if (superseded !== undefined) {
      const removed = replica.changeMembership({
        kind: "remove",
        replica: superseded.replica,
      });
      log.info("replica.removed", {
        replica: superseded.replica,
        ok: removed.ok,
      });
    }
  }
}

/** Whether a later voter of the same entry has replaced a member. */
function isSuperseded(
  member: ReplicaStatus,
  members: readonly ReplicaStatus[],
): boolean {
  const later = members.slice(members.indexOf(member) + 1);
  return later.some((other) =>
    other.entry === member.entry && other.role !== "learner"
  );
}

/** Names of the entries that are configured as replicas, sorted. */
function replicaEntryNames(settings: Settings): string[] {
  return settings.peers.filter((peer) => peer.replica).map((peer) => peer.entry)
    .sort();
}

function alreadyFormedFault(entry: string): Fault {
  return fault(
    "conflict",
    `Replica of "${entry}" already belongs to a cluster`,
    {
      remedy:
        "A cluster is initialized once; see the replicas with: quetzalcove replicas",
    },
  );
}
