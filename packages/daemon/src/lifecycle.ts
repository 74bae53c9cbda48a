/**
 * The life cycle of components: started in order and stopped in reverse order. If one fails to start, those before it
 * are stopped.
 *
 * @module
 */

/** An object that owns sockets, files or timers. */
export interface Component {
  readonly name: string;
  start(): Promise<void>;
  stop(): Promise<void>;
}

/** Called with the name of a component that failed to stop. */
export type StopFailureHandler = (component: string, error: unknown) => void;

export class Lifecycle {
  readonly #started: Component[] = [];
  readonly #onStopFailure: StopFailureHandler;

  constructor(onStopFailure: StopFailureHandler) {
    this.#onStopFailure = onStopFailure;
  }

  /** Starts one component; on failure stops those started earlier and rethrows the error. */
  async start(component: Component): Promise<void> {
    try {
      await component.start();
      this.#started.push(component);
    } catch (error) {
      await this.stop();
      throw error;
    }
  }

  /** Stops all components, the last started first. A second call does nothing. */
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

/** A component that runs a function at a fixed interval, and on demand. */
export interface Ticker extends Component {
  /** Runs the function now, or once more right after the current run. */
  runNow(): void;
}

/** Returns a component that runs a function at a fixed interval; runs never overlap. */
export function ticker(
  name: string,
  intervalMs: number,
  run: () => Promise<void> | void,
): Ticker {
  let timer: NodeJS.Timeout | undefined;
  let running: Promise<void> | undefined;
  let runAgain = false;
  const tick = (): void => {
    if (running === undefined) {
      running = Promise.resolve(run()).finally(() => {
        running = undefined;
        if (runAgain) {
          runAgain = false;
          tick();
        }
      });
    }
  };
  return {
    name,
    start(): Promise<void> {
      timer = setInterval(tick, intervalMs);
      return Promise.resolve();
    },
    async stop(): Promise<void> {
      clearInterval(timer);
      runAgain = false;
      await running;
    },
    runNow(): void {
      runAgain = running !== undefined;
      tick();
    },
  };
}
