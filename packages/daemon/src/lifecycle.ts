/**
 * The life-cycle manager. Each component is started in order and stopped in the reverse order; a component that
 * fails to start stops the ones before it.
 *
 * @module
 */

/** Something that owns a socket, file or timer. */
export interface Component {
  readonly name: string;
  start(): Promise<void>;
  stop(): Promise<void>;
}

/** Reports a component that did not stop cleanly. */
export type StopFailure = (component: string, error: unknown) => void;

export class Lifecycle {
  readonly #started: Component[] = [];
  readonly #onStopFailure: StopFailure;

  constructor(onStopFailure: StopFailure) {
    this.#onStopFailure = onStopFailure;
  }

  /** Starts one component; on failure everything started earlier is stopped and the error is thrown on. */
  async start(component: Component): Promise<void> {
    try {
      await component.start();
      this.#started.push(component);
    } catch (error) {
      await this.stop();
      throw error;
    }
  }

  /** Stops all components, the latest first. A second call does nothing. */
  async stop(): Promise<void> {
    for (
      let next = this.#started.pop();
      next !== undefined;
      next = this.#started.pop()
    ) {
      try {
        await next.stop();
      } catch (error) {
        this.#onStopFailure(next.name, error);
      }
    }
  }
}

/** A component that runs a function at a fixed interval, and at once when it is told to. */
export interface Ticker extends Component {
  /** Runs the function now, or right after the run that is under way. */
  runNow(): void;
}

/** Runs a function at a fixed interval; two runs never overlap. */
export function ticker(
  name: string,
  everyMs: number,
  run: () => Promise<void> | void,
): Ticker {
  let timer: NodeJS.Timeout | undefined;
  let running: Promise<void> | undefined;
  let again = false;
  const tick = (): void => {
    if (running === undefined) {
      running = Promise.resolve(run()).finally(() => {
        running = undefined;
        if (again) {
          again = false;
          tick();
        }
      });
    }
  };
  return {
    name,
    start(): Promise<void> {
      timer = setInterval(tick, everyMs);
      return Promise.resolve();
    },
    async stop(): Promise<void> {
      clearInterval(timer);
      again = false;
      await running;
    },
    runNow(): void {
      again = running !== undefined;
      tick();
    },
  };
}
