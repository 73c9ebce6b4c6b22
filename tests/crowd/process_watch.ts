/** Memory and descriptors of a running process. */

import { readdir, readFile } from "node:fs/promises";

const KB_PER_MB = 1_024;
const POLL_INTERVAL_MS = 20;

/** Resident memory in MB; 0 once the process has ended. */
export async function memoryMb(pid: number): Promise<number> {
  const path = `/proc/${pid}/status`;
  const status = await readFile(path, "utf8").catch(() => "");
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
}

/** Largest resident memory of a process while `action` runs, in MB. */
export async function peakMemoryMb(
  pid: number,
  action: () => Promise<void>,
): Promise<number> {
  let peak = await memoryMb(pid);
  const timer = setInterval(async () => {
    peak = Math.max(peak, await memoryMb(pid));
  }, POLL_INTERVAL_MS);
  await action();
  clearInterval(timer);
  return Math.max(peak, await memoryMb(pid));
}

/** Number of open descriptors; 0 once the process has ended. */
export async function descriptorCount(pid: number): Promise<number> {
  return (await readdir(`/proc/${pid}/fd`).catch(() => [])).length;
}
