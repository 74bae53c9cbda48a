/**
 * Divides the processors of a VM by priority when its runs need more than it has.
 *
 * @module
 */
import { PRIORITIES } from "../names.ts";
import type { VmCapacity } from "./vm_capacity.ts";

const MIN_SHARE = 0.1;
/** A share is lowered only by at least this much. */
const TIGHTEN_STEP = 0.05;
/** A share is raised only by at least this much, or to the full share, to avoid oscillation. */
const RELAX_STEP = 0.2;
const FULL_SHARE = 1;

/** Share of its processors that a run may use from now on. */
export interface Throttle {
  run: string;
  share: number;
}

/** The throttles of the VM's runs that must change. */
export function throttleChanges(vm: VmCapacity): Throttle[] {
  const result: Throttle[] = [];
  if (vm.free.millicores >= 0 && !vm.throttled) {
    return result;
  }
  let left = vm.limit.millicores;
  for (const priority of PRIORITIES) {
    const members = vm.runs.filter(({ job, run }) =>
      job.priority === priority && run.want === "run"
    );
    const need = members.reduce((sum, { size }) => sum + size.millicores, 0);
    const share = shareOf(left, need);
    left -= Math.min(need, Math.max(left, 0));
    for (const { run, report } of members) {
      if (report?.phase === "running" && mustChange(report.throttle, share)) {
        result.push({ run: run.id, share });
      }
    }
  }
  return result;
}

function shareOf(left: number, need: number): number {
  const share = need <= left ? FULL_SHARE : left / need;
  return Math.round(Math.max(MIN_SHARE, share) * 100) / 100;
}

function mustChange(current: number, wanted: number): boolean {
  if (wanted < current) {
    return current - wanted >= TIGHTEN_STEP;
  }
  return wanted - current >= RELAX_STEP ||
    (wanted === FULL_SHARE && current < FULL_SHARE);
}
