/**
 * Injection of faults into a running cluster.
 *
 * @module
 */
import type { Cluster } from "../harness/cluster.ts";
import type { FaultStep } from "./schedule.ts";

/** Injects a fault at an entry; the returned function ends it. */
export async function injectFault(
  cluster: Cluster,
  step: FaultStep,
  { entry, isReplica }: { entry: string; isReplica: boolean },
): Promise<() => void> {
  const relays = cluster.relaysOf(entry);
  const restart = (): void => cluster.startDaemon(entry);
  const heal = (): void => relays.forEach((relay) => relay.heal());
  switch (step.kind) {
    case "kill":
      await cluster.kill(entry);
      return restart;
    case "terminate": {
      const code = await cluster.terminate(entry);
      if (code !== 0) {
        throw new Error(`Planned stop of ${entry} exited with code ${code}`);
      }
      return restart;
    }
    case "lose disk":
      await cluster.kill(entry);
      if (isReplica) {
        cluster.loseDisk(entry);
      }
      return restart;
    case "stop":
      cluster.signal(entry, "SIGSTOP");
      return () => cluster.signal(entry, "SIGCONT");
    case "cut":
      relays.forEach((relay) => relay.disconnect());
      return heal;
    case "silence":
      relays.forEach((relay) => relay.dropBytes());
      return heal;
    case "silence out":
      cluster.names.filter((name) => name !== entry).forEach((other) => {
        cluster.relay(entry, other).dropBytes({ out: "silent" });
        cluster.relay(other, entry).dropBytes({ back: "silent" });
      });
      return heal;
    case "delay":
      relays.forEach((relay) => relay.delay(step.delayMs));
      return () => relays.forEach((relay) => relay.delay(0));
    case "lose connections":
      relays.forEach((relay) => relay.dropPresentConnections());
      return () => {};
  }
}
