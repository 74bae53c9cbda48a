/**
 * Scores of CPU and memory apart, as alternatives to the best fit of core.
 *
 * @module
 */
import { type FitScore, leastFreeCpu } from "@quetzalcove/core/scheduling";

/** Free shares of CPU and memory that a task would leave. */
function leftShares(
  ...[demand, free, capacity]: Parameters<FitScore>
): [cpu: number, memory: number] {
  return [
    (free.cpuMilli - demand.cpuMilli) / capacity.cpuMilli,
    (free.memoryMb - demand.memoryMb) / capacity.memoryMb,
  ];
}

export const FIT_SCORES: Readonly<Record<string, FitScore>> = {
  "least free CPU": leastFreeCpu,
  "least free shares": (...resources) => {
    const [cpu, memory] = leftShares(...resources);
    return cpu + memory;
  },
  "least free volume": (...resources) => {
    const [cpu, memory] = leftShares(...resources);
    return cpu * memory;
  },
  "scarcest resource": (...resources) => Math.min(...leftShares(...resources)),
  "balanced shares": (...resources) => {
    const [cpu, memory] = leftShares(...resources);
    return Math.max(cpu, memory) + Math.abs(cpu - memory);
  },
  // Packs by the dot product of demand and free resources (Tetris, Grandl et al., 2014).
  "alignment": (demand, free, capacity) =>
    -(demand.cpuMilli * free.cpuMilli / capacity.cpuMilli ** 2 +
      demand.memoryMb * free.memoryMb / capacity.memoryMb ** 2),
};
