/**
 * Limits for callers that don't behave, from the size of the machine.
 *
 * Memory for callers is a part of what an idle process and buffers that wait for
 * a garbage collection leave.
 */

import { getHeapStatistics } from "node:v8";

/** What the settings state of a machine. */
export interface MachineSize {
  /** Memory of the process, in bytes. */
  readonly memoryBytes?: number | undefined;
  /** Descriptors of the process. */
  readonly maxDescriptors?: number | undefined;
  /** Largest request body, in bytes. */
  readonly bodyMaxBytes?: number | undefined;
}

/** Limits of one process. */
export interface CallerLimits {
  /** Bytes that all callers together may hold. */
  readonly heldBytes: number;
  /** Connections of callers. */
  readonly callers: number;
  /** Connections of peers. */
  readonly peers: number;
  /** Connections for readiness, and as many for metrics. */
  readonly probes: number;
}

const BYTES_PER_MB = 1_048_576;
/** Memory that is assumed if the settings state none. */
const DEFAULT_MEMORY_MB = 210;
/** Descriptors that are assumed if the settings state none. */
export const DEFAULT_DESCRIPTORS = 1_024;
/** Memory of an idle process. */
const IDLE_BYTES = 70 * BYTES_PER_MB;
/** V8 starts a collection once so many bytes of buffers were allocated. */
const UNCOLLECTED_BYTES = 64 * BYTES_PER_MB;
/** Parts of the memory, of what is left of it, and of the heap. */
const MEMORY_SHARE = 0.15;
const LEFT_SHARE = 0.6;
const HEAP_SHARE = 0.3;
/** Least limit, in bodies of the largest size. */
const HELD_MIN_BODIES = 2;
/** Largest body that is assumed if the settings state none. */
const DEFAULT_BODY_BYTES = 4 * BYTES_PER_MB;
/** Parts of the descriptors for connections; servers need the rest. */
const CALLER_SHARE = 0.5;
const PEER_SHARE = 0.15;
const PROBE_SHARE = 0.05;

/** Returns the limits of a process on a machine. */
export function callerLimits(
  {
    memoryBytes = DEFAULT_MEMORY_MB * BYTES_PER_MB,
    maxDescriptors = DEFAULT_DESCRIPTORS,
    bodyMaxBytes = DEFAULT_BODY_BYTES,
  }: MachineSize,
  heapMaxBytes: number = getHeapStatistics().heap_size_limit,
): CallerLimits {
  const heldBytes = Math.min(
    memoryBytes * MEMORY_SHARE,
    (memoryBytes - IDLE_BYTES - UNCOLLECTED_BYTES) * LEFT_SHARE,
    heapMaxBytes * HEAP_SHARE,
  );
  return {
    heldBytes: Math.floor(Math.max(HELD_MIN_BODIES * bodyMaxBytes, heldBytes)),
    callers: Math.floor(maxDescriptors * CALLER_SHARE),
    peers: Math.floor(maxDescriptors * PEER_SHARE),
    probes: Math.floor(maxDescriptors * PROBE_SHARE),
  };
}
