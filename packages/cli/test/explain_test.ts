import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { formatEvent } from "../../daemon/src/observe/log.ts";
import { parseLogLine } from "../src/log_line.ts";
import { Session } from "./session.ts";

const JOB = "0004000000000020";

/** Log of a replica from a soak run: jobs that fail on every worker caused all workers to be paused. */
const REPLICA = `\
time=2026-12-04T00:32:43.302Z level=info entry=r3 event=job.submitted job=${JOB} queue=r-intake plan=28 tasks=9 outcome=accepted
time=2026-12-04T00:32:43.400Z level=info entry=r3 event=job.submitted job=0004000000000021 queue=r-intake plan=28 tasks=3 outcome=accepted
time=2026-12-04T00:33:37.734Z level=warn entry=r3 event=worker.paused worker=i-m-2-2 reason="runs fail there"
time=2026-12-04T00:33:37.740Z level=warn entry=r3 event=worker.paused worker=i-m-3-1 reason="runs fail there"
time=2026-12-04T00:33:40.959Z level=info entry=r3 event=step.placed step=${JOB}.0.0 tasks=1 waiting=2 workers=1
time=2026-12-04T00:33:45.371Z level=warn entry=r3 event=run.stuck task=${JOB}.0.2.2 run=1 worker=i-m-2-2 percent=39 paused=true
time=2026-12-04T00:33:45.371Z level=war
time=2026-12-04T00:33:50.362Z level=info entry=r3 event=job.ended job=${JOB} queue=r-intake outcome=completed tookMs=67066 runsLeft=0
time=2026-12-04T00:33:53.247Z level=info entry=r3 event=raft.role role=follower term=2
`;

const ENTRY = `\
time=2026-12-04T00:32:41.010Z level=info entry=e3 event=node.started zone=zone-a replica=false firstStart=true
time=2026-12-04T00:33:44.920Z level=warn entry=e3 event=request.refused method=GET host=jobs.example path=/intake/${JOB} status=503 reason="Call of read_queue at \\"127.170.1.1\\" failed: Request timeout"
`;

let session: Session;

beforeEach(() => {
  session = new Session();
  session.files.set("logs/r3.log", REPLICA);
  session.files.set("logs/e3.log", ENTRY);
});

afterEach(() => session.close());

describe("the timeline of a job", () => {
  it("is built from all logs, with workers, leaders and gaps", async () => {
    await session.run("explain", JOB, "--logs", "logs");
    await session.run("explain", "0004000000000099", "--logs", "logs");
    await session.run("explain", JOB, "--logs", "elsewhere");
    await session.run("explain", JOB);
    await expect(session.transcript).toMatchFileSnapshot("golden/explain.txt");
  });

  it("mentions no other job, even if its id has a common prefix", async () => {
    await session.run("explain", JOB, "--logs", "logs", "--json");
    expect(session.stdout).not.toContain(`${JOB.slice(0, -1)}1`);
    const { chapters } = JSON.parse(session.stdout) as {
      chapters: { kind: string; relation?: string }[];
    };
    expect(chapters.filter(({ relation }) => relation === "job"))
      .toHaveLength(5);
  });
});

describe("a log line", () => {
  it("is parsed as it was written, whatever characters its values contain", () => {
    fc.assert(fc.property(
      fc.dictionary(
        fc.stringMatching(/^f[A-Za-z]{0,8}$/),
        fc.oneof(fc.string({ minLength: 1 }), fc.string({ unit: "binary" })),
      ),
      (fields) => {
        const header = {
          time: "2026-12-04T00:32:43.302Z",
          level: "info",
          entry: "r1",
          event: "job.ended",
        };
        const event = parseLogLine(formatEvent({ ...header, ...fields }));
        expect(Object.fromEntries(event?.fields ?? [])).toEqual({ ...fields });
        expect(event?.at).toBe(Date.parse(header.time));
      },
    ));
  });

  it.each(["", "plain words", "time=never entry=r1 event=e", "time=2026-12-"])(
    "%j is not an event",
    (line) => {
      expect(parseLogLine(line)).toBeUndefined();
    },
  );
});
