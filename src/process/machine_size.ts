/** The machine of a daemon, as its settings or the system state it. */

import { readFileSync } from "node:fs";
import { totalmem } from "node:os";
import process from "node:process";
import {
  DEFAULT_DESCRIPTORS,
  type MachineSize,
} from "../admission/caller_limits.ts";

const BYTES_PER_MB = 1_048_576;
const PROCESS_LIMITS_PATH = "/proc/self/limits";
const OPEN_FILES = /^Max open files +(\d+)/m;

/** Settings of a daemon; 0 stands for what the system states. */
export interface MachineSettings {
  readonly memoryMb: number;
  readonly descriptors: number;
}

/** Returns the memory and the descriptors that a daemon may use. */
export function machineSize(
  { memoryMb, descriptors }: MachineSettings,
): Required<Pick<MachineSize, "memoryBytes" | "maxDescriptors">> {
  return {
    memoryBytes: memoryMb > 0 ? memoryMb * BYTES_PER_MB : availableBytes(),
    maxDescriptors: descriptors > 0 ? descriptors : openFilesMax(),
  };
}

function availableBytes(): number {
  const constrainedBytes = process.constrainedMemory() ?? 0;
  return constrainedBytes > 0
    ? Math.min(totalmem(), constrainedBytes)
    : totalmem();
}

function openFilesMax(): number {
  try {
    const limits = readFileSync(PROCESS_LIMITS_PATH, "utf8");
    return Number(OPEN_FILES.exec(limits)?.[1] ?? DEFAULT_DESCRIPTORS);
  } catch {
    return DEFAULT_DESCRIPTORS;
  }
}
