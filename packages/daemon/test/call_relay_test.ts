import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { Err, fault, Ok, type Result } from "@quetzalcove/core";
import type { JobStore, RelayCandidate } from "@quetzalcove/core/scheduling";
import {
  newJobStore,
  spec,
  step,
  submit,
} from "../../core/test/scheduling_fixture.ts";
import { Metrics } from "../src/observe/metrics.ts";
import { RelayedAnswer } from "../src/scheduler/call_relay/messages.ts";
import { CallRelay, CallRouter } from "../src/scheduler/call_relay/mod.ts";
import type {
  StartOrder,
  WorkerClient,
} from "../src/scheduler/platform_clients.ts";
import { consensusOf, QUIET_LOG, TEST_CLOCK } from "./scheduler_fixture.ts";

const TERM = 7;
const LEADER = "10.0.0.1";
const RELAY = "10.0.0.2";
const LINK_MS = 2;
const MAX_DELAY_MS = 400;
const WORKER = { id: "w1", address: "10.1.0.1:8462" };

const ORDER: StartOrder = {
  task: "job.0.0.0",
  run: 1,
  text: "work",
  leaseDeadlineMs: 4_000,
  fence: TERM,
  checkpoint: "",
  permit: "",
};

/** Records the calls that reach workers from one node, and answers them at once. */
class RecordingClient implements WorkerClient {
  readonly calls: string[] = [];
  hasMoreEnds = false;

  start: WorkerClient["start"] = ({ id }, { task, text, fence }) => {
    this.calls.push(`start ${task} "${text}" at ${id}, fence ${fence}`);
    return Promise.resolve({ answer: "started", clockMs: 5 });
  };

  stop: WorkerClient["stop"] = ({ id }, { task }) => {
    this.calls.push(`stop ${task} at ${id}`);
    return Promise.resolve({ answer: true, clockMs: 6 });
  };

  pace: WorkerClient["pace"] = ({ id }, { task }, percent) => {
    this.calls.push(`pace ${task} at ${id} to ${percent}`);
    return Promise.resolve({ answer: true, clockMs: 7 });
  };

  renew: WorkerClient["renew"] = ({ id }, { waitMs, seenEnds }) => {
    this.calls.push(`renew ${id}, seen ${seenEnds}, wait ${waitMs}`);
    return Promise.resolve({
      kind: "listing",
      clockMs: 8,
      bornAtMs: 1_764_860_000_000,
      listing: {
        running: [
          { task: "job.0.0.0", run: 1, checkpoint: "c", percent: 9, gauge: 10 },
        ],
        ended: [
          { number: 3, task: "job.0.0.1", run: 1, how: "done", checkpoint: "" },
        ],
        unreadableRows: 0,
        hasMoreEnds: this.hasMoreEnds,
      },
    });
  };

  disconnect: WorkerClient["disconnect"] = ({ id }) => {
    this.calls.push(`disconnect ${id}`);
  };
}

/** A leader and one replica that relays its calls, over a link that takes 2 ms. */
class Fixture {
  readonly jobStore: JobStore = newJobStore([]);
  readonly direct = new RecordingClient();
  readonly relayed = new RecordingClient();
  readonly router: CallRouter;
  relay: CallRelay;
  /** Messages that were sent on the link. */
  readonly frames: string[] = [];
  relayTerm = TERM;
  isConfirmedLeader = true;
  workerCount = 100;
  isLinkOpen = true;
  /** Messages are lost, though the link seems open. */
  isLinkSilent = false;
  /** Until then the relay is suspended: what it receives stays in its buffer. */
  suspendedUntil = 0;
  /** How much the relay's monotonic clock is behind because of suspensions. */
  suspendedMs = 0;

  constructor() {
    submit(this.jobStore, "job", spec(step({ taskCount: 4 })));
    this.relay = this.#createRelay();
    this.router = new CallRouter({
      host: LEADER,
      term: TERM,
      direct: this.direct,
      zoneOf: () => "zone-a",
      relayFromWorkers: 64,
      workerCount: () => this.workerCount,
      candidates: () => [this.candidate],
      isConfirmedLeader: () => this.isConfirmedLeader,
      callTimeoutMs: 1_000,
      clock: TEST_CLOCK,
      log: QUIET_LOG,
      metrics: new Metrics(),
      send: (_, method, params) => this.#deliver(this.relay, method, params),
      request: (_, method, params, timeoutMs) =>
        this.#request(method, params, timeoutMs),
    });
  }

  get candidate(): RelayCandidate {
    return {
      host: RELAY,
      zone: "zone-a",
      caughtUp: true,
      isConnected: this.isLinkOpen,
      silentMs: 0,
    };
  }

  restartRelay(): void {
    this.relay = this.#createRelay();
  }

  suspendRelay(forMs: number): void {
    this.suspendedUntil = Date.now() + forMs;
    this.suspendedMs += forMs;
  }

  async start(): Promise<void> {
    const started = this.router.start();
    await vi.advanceTimersByTimeAsync(100);
    await started;
  }

  #createRelay(): CallRelay {
    return new CallRelay({
      host: RELAY,
      consensus: {
        state: this.jobStore,
        leadership: () => ({
          ...consensusOf(this.jobStore).leadership(),
          term: this.relayTerm,
        }),
      },
      client: this.relayed,
      clock: {
        ...TEST_CLOCK,
        monotonic: () => Date.now() - this.suspendedMs,
      },
      log: QUIET_LOG,
      metrics: new Metrics(),
      maxDelayMs: MAX_DELAY_MS,
      send: (_, __, params) => {
        setTimeout(() => this.router.receive(params), LINK_MS);
      },
    });
  }

  #deliver(relay: CallRelay, method: string, params: unknown): void {
    const { calls = [] } = params as { calls?: { kind: string }[] };
    this.frames.push(calls.map(({ kind }) => kind).join(" "));
    if (this.isLinkOpen && !this.isLinkSilent) {
      const resumesInMs = Math.max(0, this.suspendedUntil - Date.now());
      setTimeout(
        () => void relay.handlers().get(method)?.(params),
        Math.max(LINK_MS, resumesInMs),
      );
    }
  }

  async #request(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, ReturnType<typeof fault>>> {
    const isLost = !this.isLinkOpen || this.isLinkSilent;
    await new Promise((resolve) =>
      setTimeout(resolve, isLost ? timeoutMs : 2 * LINK_MS)
    );
    const answer = await this.relay.handlers().get(method)?.(params);
    return isLost || answer === undefined
      ? Err(fault("timeout", "no answer"))
      : answer.map(() => Ok.EMPTY);
  }
}

describe("calls to workers", () => {
  let fixture: Fixture;

  beforeEach(async () => {
    vi.useFakeTimers({ now: 0 });
    fixture = new Fixture();
    await fixture.start();
  });

  afterEach(async () => {
    await fixture.router.stop();
    vi.useRealTimers();
  });

  /** Waits for the outcome of a call, for at most `ms`. */
  async function outcomeOf<T>(call: Promise<T>, ms = 50): Promise<T | string> {
    let outcome: T | string = "pending";
    void call.then((value) => {
      outcome = value;
    });
    await vi.advanceTimersByTimeAsync(ms);
    return outcome;
  }

  it("are relayed, and their answers returned", async () => {
    const { client } = fixture.router;
    const run = { task: "job.0.0.1", run: 1, fence: TERM };
    const renewal = {
      fence: TERM,
      leaseDeadlineMs: 4_000,
      seenEnds: 2,
      waitMs: 1_500,
      timeoutMs: 1_000,
    };
    const outcomes = await outcomeOf(Promise.all([
      client.start(WORKER, ORDER),
      client.stop(WORKER, run),
      client.pace(WORKER, run, 50),
      client.renew(WORKER, renewal),
    ]));
    expect(outcomes).toMatchSnapshot();
    expect(fixture.relayed.calls).toMatchSnapshot();
    expect(fixture.direct.calls).toEqual([]);
  });

  // Guards against a page of ends that a relay hands on as the whole list (review/6).
  it("that renew tell whether the worker has more ends to list", async () => {
    fixture.relayed.hasMoreEnds = true;
    const outcome = await outcomeOf(fixture.router.client.renew(WORKER, {
      fence: TERM,
      leaseDeadlineMs: 4_000,
      seenEnds: 0,
      waitMs: 0,
      timeoutMs: 1_000,
    }));
    expect(outcome).toMatchObject({ listing: { hasMoreEnds: true } });
  });

  // Guards against a relay of an earlier version, which does not tell.
  it("are answered with more ends to come where the relay does not tell", () => {
    const answer = {
      kind: "listing",
      call: 1,
      clockMs: 1,
      running: [],
      ended: [],
    };
    expect(RelayedAnswer.parse(answer)).toMatchObject({
      unreadableRows: 0,
      hasMoreEnds: true,
    });
  });

  it("that are made in one turn share a frame", async () => {
    const { client } = fixture.router;
    const starts = [0, 1, 2, 3].map((index) =>
      client.start(WORKER, { ...ORDER, task: `job.0.0.${index}` })
    );
    await outcomeOf(Promise.all(starts));
    expect(fixture.frames).toEqual(["start start start start"]);
  });

  it("are made by the leader if the relay does not know the job yet", async () => {
    fixture.jobStore.jobs.delete("job");
    const outcome = await outcomeOf(
      fixture.router.client.start(WORKER, ORDER),
    );
    expect(outcome).toEqual({ answer: "started", clockMs: 5 });
    expect(fixture.relayed.calls).toEqual([]);
    expect(fixture.direct.calls).toHaveLength(1);
  });

  it("are made by the leader while no replica can relay them", async () => {
    fixture.isLinkOpen = false;
    await vi.advanceTimersByTimeAsync(200);
    await outcomeOf(fixture.router.client.start(WORKER, ORDER));
    expect(fixture.direct.calls).toHaveLength(1);
  });

  it("are made by the leader while there are few workers", async () => {
    fixture.workerCount = 31;
    await vi.advanceTimersByTimeAsync(200);
    await outcomeOf(fixture.router.client.start(WORKER, ORDER));
    await outcomeOf(fixture.router.client.renew(WORKER, {
      fence: TERM,
      leaseDeadlineMs: 4_000,
      seenEnds: 0,
      waitMs: 1_500,
      timeoutMs: 1_000,
    }));
    expect(fixture.direct.calls).toEqual([
      'start job.0.0.0 "work" at w1, fence 7',
      "renew w1, seen 0, wait 1500",
    ]);
    fixture.workerCount = 64;
    await vi.advanceTimersByTimeAsync(300);
    await outcomeOf(fixture.router.client.start(WORKER, ORDER));
    expect(fixture.relayed.calls).toHaveLength(1);
  });

  it("wait while leadership is not confirmed", async () => {
    fixture.isConfirmedLeader = false;
    const started = fixture.router.client.start(WORKER, ORDER);
    expect(await outcomeOf(started, 500)).toBe("pending");
    fixture.isConfirmedLeader = true;
    expect(await outcomeOf(started)).toEqual({ answer: "started", clockMs: 5 });
    expect(fixture.relayed.calls).toHaveLength(1);
  });

  it("are never made if leadership is not confirmed by their deadline", async () => {
    fixture.isConfirmedLeader = false;
    const started = fixture.router.client.start(WORKER, ORDER);
    const outcome = await outcomeOf(started, 1_500);
    fixture.isConfirmedLeader = true;
    await vi.advanceTimersByTimeAsync(200);
    expect(outcome).toEqual({ answer: "no_answer", clockMs: undefined });
    expect(fixture.relayed.calls).toEqual([]);
    expect(fixture.direct.calls).toEqual([]);
  });

  // A relay that resumes must not use a permission that has expired while it was suspended.
  it("that waited while their relay was suspended are not sent by it", async () => {
    fixture.suspendRelay(3_000);
    const started = fixture.router.client.start(WORKER, ORDER);
    expect(await outcomeOf(started, 2_900)).toEqual({
      answer: "no_answer",
      clockMs: undefined,
    });
    await vi.advanceTimersByTimeAsync(1_000);
    expect(fixture.relayed.calls).toEqual([]);
  });

  it("are not sent by a relay that follows a later leader", async () => {
    fixture.relayTerm = TERM + 1;
    void fixture.router.client.start(WORKER, ORDER);
    await vi.advanceTimersByTimeAsync(50);
    expect(fixture.relayed.calls).toEqual([]);
  });

  it("are made by the leader after a restart of the relay, which does not relay before it agreed again", async () => {
    fixture.restartRelay();
    await outcomeOf(fixture.router.client.start(WORKER, ORDER));
    expect(fixture.relayed.calls).toEqual([]);
    expect(fixture.direct.calls).toHaveLength(1);
    fixture.isLinkOpen = false;
    await vi.advanceTimersByTimeAsync(200);
    fixture.isLinkOpen = true;
    await vi.advanceTimersByTimeAsync(300);
    await outcomeOf(fixture.router.client.start(WORKER, ORDER));
    expect(fixture.relayed.calls).toHaveLength(1);
  });

  describe("through a relay that is lost", () => {
    beforeEach(() => {
      fixture.isLinkSilent = true;
    });

    // The start may have reached the worker, so only a stop or a listing shows that it does not run.
    it("are unanswered if they start a run, and are not repeated", async () => {
      const started = fixture.router.client.start(WORKER, ORDER);
      await vi.advanceTimersByTimeAsync(20);
      fixture.isLinkOpen = false;
      expect(await outcomeOf(started, 200)).toEqual({
        answer: "no_answer",
        clockMs: undefined,
      });
      expect(fixture.direct.calls).toEqual([]);
    });

    it("are repeated by the leader if they renew a lease", async () => {
      const renewed = fixture.router.client.renew(WORKER, {
        fence: TERM,
        leaseDeadlineMs: 4_000,
        seenEnds: 0,
        waitMs: 1_500,
        timeoutMs: 1_000,
      });
      await vi.advanceTimersByTimeAsync(20);
      fixture.isLinkOpen = false;
      expect(await outcomeOf(renewed, 200)).toMatchObject({ kind: "listing" });
      expect(fixture.direct.calls).toEqual(["renew w1, seen 0, wait 0"]);
    });

    it("end by their deadline although the link seems open", async () => {
      const started = fixture.router.client.start(WORKER, ORDER);
      expect(await outcomeOf(started, 1_500)).toEqual({
        answer: "no_answer",
        clockMs: undefined,
      });
    });
  });

  it("leave no connection when the worker is gone, neither at the relay nor at the leader", async () => {
    const { client } = fixture.router;
    await outcomeOf(client.start(WORKER, ORDER));
    fixture.isLinkOpen = false;
    await vi.advanceTimersByTimeAsync(200);
    await outcomeOf(client.start(WORKER, ORDER));
    fixture.isLinkOpen = true;
    await vi.advanceTimersByTimeAsync(300);
    client.disconnect(WORKER);
    await vi.advanceTimersByTimeAsync(50);
    expect(fixture.relayed.calls.at(-1)).toBe("disconnect w1");
    expect(fixture.direct.calls.at(-1)).toBe("disconnect w1");
  });

  it("of an unreadable frame are refused, and the relay goes on", async () => {
    const relay = fixture.relay.handlers().get("relay_calls");
    const refused = await relay?.({ leader: LEADER, term: TERM, calls: [1] });
    expect(refused?.err && refused.val.kind).toBe("invalid");
    expect(fixture.router.receive({ term: "x" }).err).toBe(true);
    await outcomeOf(fixture.router.client.start(WORKER, ORDER));
    expect(fixture.relayed.calls).toHaveLength(1);
  });
});

describe("the start of a term", () => {
  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Whether the router has started by `ms` although the other replica was lost with the earlier leader. */
  async function hasStartedBy(ms: number, workers: number): Promise<boolean> {
    const fixture = new Fixture();
    fixture.workerCount = workers;
    fixture.isLinkSilent = true;
    let hasStarted = false;
    const started = fixture.router.start().then(() => {
      hasStarted = true;
    });
    await vi.advanceTimersByTimeAsync(ms);
    const result = hasStarted;
    await vi.advanceTimersByTimeAsync(1_000);
    await started;
    await fixture.router.stop();
    return result;
  }

  it("does not wait for a lost replica if so few workers need no relay", async () => {
    expect(await hasStartedBy(0, 63)).toBe(true);
  });

  it("waits for the replicas if their relays will be used", async () => {
    expect(await hasStartedBy(0, 64)).toBe(false);
    expect(await hasStartedBy(100, 64)).toBe(true);
  });
});
