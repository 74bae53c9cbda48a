// deno-lint-ignore-file explicit-function-return-type -- JavaScript has no return types.
// What the workers have run, and the check of TWICE as RULES.md has it.
export class History {
  constructor(record, isRecorded = () => true) {
    this.record = record;
    // Of which tasks each run is written down; all are checked.
    this.isRecorded = isRecorded;
    this.tasks = new Map();
    this.starts = 0;
    this.overlaps = [];
  }

  #runsOf(task) {
    let runs = this.tasks.get(task);
    if (runs === undefined) {
      runs = [];
      this.tasks.set(task, runs);
    }
    return runs;
  }

  started(task, run, worker) {
    this.starts += 1;
    const runs = this.#runsOf(task);
    const beside = runs.filter(({ how }) => how === undefined);
    if (beside.length > 0) {
      this.overlaps.push({
        task,
        run,
        worker,
        beside: beside.map((each) => `${each.run} on ${each.worker}`),
      });
    }
    runs.push({
      task,
      run,
      worker,
      startedAt: performance.now(),
      how: undefined,
      endedAt: undefined,
      isNoted: false,
      hasLapsed: false,
    });
    if (this.isRecorded(task)) {
      this.record.add(worker, "started", { task, run });
    }
  }

  ended(task, run, worker, how) {
    const found = this.#find(task, run, worker);
    if (found !== undefined) {
      found.how = how;
      found.endedAt = performance.now();
    }
    if (this.isRecorded(task)) {
      this.record.add(worker, "ended", { task, run, how });
    }
  }

  // An end up to which `last_seen` has come.
  noted(task, run, worker) {
    const found = this.#find(task, run, worker);
    if (found !== undefined && !found.hasLapsed) {
      found.isNoted = true;
    }
  }

  // The lease of a worker lapses: its ends that are not noted yet never count as noted.
  lapsed(worker) {
    for (const runs of this.tasks.values()) {
      for (const each of runs) {
        if (each.worker === worker && each.how !== undefined && !each.isNoted) {
          each.hasLapsed = true;
        }
      }
    }
    this.record.add(worker, "lease lapsed");
  }

  #find(task, run, worker) {
    return this.#runsOf(task).findLast((each) =>
      each.run === run && each.worker === worker
    );
  }

  countOf(how) {
    let count = 0;
    for (const runs of this.tasks.values()) {
      count += runs.filter((each) => each.how === how).length;
    }
    return count;
  }

  // Starts of a task after one of its runs had ended `done`, if that end was noted then or later.
  startsAfterDone() {
    const found = [];
    for (const [task, runs] of this.tasks) {
      for (
        const done of runs.filter(({ how, isNoted }) =>
          how === "done" && isNoted
        )
      ) {
        for (
          const later of runs.filter(({ startedAt }) =>
            startedAt > done.endedAt
          )
        ) {
          found.push({
            task,
            done: `${done.run} on ${done.worker}`,
            run: later.run,
            worker: later.worker,
            afterMs: Math.round(later.startedAt - done.endedAt),
          });
        }
      }
    }
    return found;
  }

  // The breaks of TWICE, written to the record.
  breaksOfTwice() {
    const after = this.startsAfterDone();
    after.slice(0, 20).forEach((each) =>
      this.record.add("check", "TWICE: start after an end done", each)
    );
    this.overlaps.slice(0, 20).forEach((each) =>
      this.record.add("check", "TWICE: two runs at the same time", each)
    );
    return { startsAfterDone: after.length, overlaps: this.overlaps.length };
  }
}
