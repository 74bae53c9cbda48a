/**
 * How replicas come together: the first start of a cluster, new replicas that join, and the replacement of a replica
 * whose disk was lost.
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
import { admit, Applicant, isMember } from "./joining.ts";
import type { ReplicaTask } from "./replica_task.ts";

/** What the formation task needs. */
export interface FormationParts {
  settings: Settings;
  replica: ReplicaTask<State, Command, CommandOutput>;
  links: ReadonlyMap<string, Link>;
  leader: LeaderClient;
  log: Log;
}

const Description = z.object({ replica: z.string(), isFormed: z.boolean() });

const ReplicaName = z.object({ replica: z.string() });
const EntryName = z.object({ entry: z.string() });

/** Interval of steps towards the configured replicas, in milliseconds. */
const STEP_MS = 500;
const CALL_MS = 1_000;

export class Formation implements Component {
  readonly name = "formation";
  readonly #parts: FormationParts;
  readonly #ticker: Component;

  constructor(parts: FormationParts) {
    this.#parts = parts;
    this.#ticker = ticker("formation", STEP_MS, () => this.#step());
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
      ["describe_replica", () => Promise.resolve(Ok(this.#describe()))],
      ["init", () => this.init()],
      ["remove_replica", (params) => Promise.resolve(this.#remove(params))],
      ["transfer", (params) => Promise.resolve(this.#transfer(params))],
    ]);
  }

  /**
   * Starts the cluster, once. Only the first configured replica may do so, and only while a majority of the configured
   * replicas says that it belongs to no cluster.
   */
  async init(): Promise<Result<unknown, Fault>> {
    const { settings, replica, links } = this.#parts;
    const founder = replicaEntries(settings)[0] ?? settings.entry;
    if (founder !== settings.entry) {
      const link = links.get(founder);
      return await (link?.request("init", {}, CALL_MS) ??
        Err(
          fault(
            "not_found",
            `No link to "${founder}", which starts the cluster`,
          ),
        ));
    }
    if (replica.isFormed) {
      return Err(alreadyFormed(settings.entry));
    }
    const free = await this.#checkOthersAreFree();
    if (free.err) {
      return free;
    }
    return (await replica.bootstrap()).map(() => ({ founder }));
  }

  async #checkOthersAreFree(): Promise<Result<void, Fault>> {
    const { settings, links } = this.#parts;
    const others = replicaEntries(settings).filter((entry) =>
      entry !== settings.entry
    );
    const answers = await Promise.all(others.map(async (entry) => {
      const answer = await links.get(entry)?.request(
        "describe_replica",
        {},
        CALL_MS,
      );
      const description = answer?.ok
        ? Description.safeParse(answer.val)
        : undefined;
      return { entry, isFormed: description?.data?.isFormed };
    }));
    const formed = answers.find((answer) => answer.isFormed === true);
    if (formed !== undefined) {
      return Err(alreadyFormed(formed.entry));
    }
    const heard = 1 +
      answers.filter((answer) => answer.isFormed === false).length;
    const needed = Math.floor((others.length + 1) / 2) + 1;
    return heard >= needed ? Ok.EMPTY : Err(
      fault(
        "no_leader",
        `Only ${heard} of ${others.length + 1} replicas answer`,
        {
          remedy: `Start at least ${needed} replicas, then run init again`,
        },
      ),
    );
  }

  #describe(): z.infer<typeof Description> {
    const { replica } = this.#parts;
    return { replica: replica.replica, isFormed: replica.isFormed };
  }

  async #step(): Promise<void> {
    const { replica } = this.#parts;
    const { isLeader } = replica.leadership();
    if (isLeader) {
      this.#arrange();
    } else if (!isMember(replica, replica.replica)) {
      await this.#askToJoin();
    }
  }

  async #askToJoin(): Promise<void> {
    const { settings, replica, leader, log } = this.#parts;
    const { entry, zone, listen } = settings;
    const applicant = {
      replica: replica.replica,
      entry,
      zone,
      address: listen.link,
    };
    const answer = await leader.call("join", applicant, CALL_MS);
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
    return parse(Applicant, params, "join").andThen(
      (member): Result<unknown, Fault> => {
        if (!replicaEntries(settings).includes(member.entry)) {
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
        return admit(replica, member, log);
      },
    );
  }

  /** One membership change at a time: promote a learner that caught up, then remove the replica it replaces. */
  #arrange(): void {
    const { replica, log } = this.#parts;
    const members = replica.replicas();
    const learner = members.find((member) =>
      member.role === "learner" && member.caughtUp
    );
    const lost = members.find((member) => isReplaced(member, members));
    if (learner !== undefined) {
      const promoted = replica.changeMembership({
        kind: "promote",
        replica: learner.replica,
      });
      log.info("replica.promoted", {
        replica: learner.replica,
        ok: promoted.ok,
      });
    } else if (lost !== undefined) {
      const removed = replica.changeMembership({
        kind: "remove",
        replica: lost.replica,
      });
      log.info("replica.removed", { replica: lost.replica, ok: removed.ok });
    }
  }
}

/** Whether a later voter of the same entry took the place of a member. */
function isReplaced(
  member: ReplicaStatus,
  members: readonly ReplicaStatus[],
): boolean {
  const later = members.slice(members.indexOf(member) + 1);
  return later.some((other) =>
    other.entry === member.entry && other.role !== "learner"
  );
}

/** Entries that are configured as replicas, in order of their names. */
function replicaEntries(settings: Settings): string[] {
  return settings.peers.filter((peer) => peer.replica).map((peer) => peer.entry)
    .sort();
}

function alreadyFormed(entry: string): Fault {
  return fault(
    "conflict",
    `Replica of "${entry}" already belongs to a cluster`,
    {
      remedy:
        "A cluster is initialized once; see the replicas with: quetzalcove replicas",
    },
  );
}
