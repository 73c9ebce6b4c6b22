/** Acquires the slot for one attempt of a stream. */

import type { RequestError } from "../errors.ts";
import type { RecentFailure } from "../placement/choose_server.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import type { RelayContext } from "../process/relay_context.ts";
import {
  acquireSlot,
  createDispatchRequest,
  prefillLoad,
  requestLoad,
  reserveLoad,
  type SlotOptions,
} from "./acquire_slot.ts";
import type { KvCopy } from "./kv_copy_manager.ts";
import type { ProxyRequest } from "./proxy_request.ts";
import { streamQueueLimits } from "./stream_queue_limits.ts";

/** A reserved slot for one attempt of a stream. */
export interface StreamSlot {
  readonly server: RegisteredServer;
  /** The copy of the run's KV cache that the server holds, if any. */
  readonly kvCopy?: KvCopy;
  /** Releases the slot. */
  readonly release: () => void;
  /** Removes the prefill of the prompt from the server's load. */
  readonly endPrefill: () => void;
}

/** What a stream requires of its next slot. */
export interface StreamSlotOptions {
  /** Names of servers that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Aborted when the caller has disconnected. */
  readonly signal: AbortSignal;
  /** Whether part of the response was delivered, or an attempt continues. */
  readonly hasBegun: boolean;
  /** See `SlotOptions`. */
  readonly recentFailure: RecentFailure | undefined;
  /** See `DispatchCriteria`. */
  readonly rejection: () => RequestError | undefined;
}

/**
 * Reserves the server that holds a KV cache copy, regardless of its load;
 * `undefined` if it can't be used.
 */
export function reserveKvCopySlot(
  context: RelayContext,
  request: ProxyRequest,
  kvCopy: KvCopy,
): StreamSlot | undefined {
  const { server } = kvCopy;
  if (!context.servers.isUsable(server.name)) return undefined;
  const load = requestLoad(request);
  context.rollouts.recordPlacement(server);
  const release = reserveLoad(context, { name: server.name, load });
  return { server, kvCopy, release, endPrefill: () => undefined };
}

/** Waits for a slot. Errors: `RequestError` of type not run. */
export async function acquireStreamSlot(
  context: RelayContext,
  request: ProxyRequest,
  options: StreamSlotOptions,
): Promise<StreamSlot> {
  const { now, promptCacheIndex, loadInquiry } = context;
  const { excluded, signal, hasBegun, recentFailure, rejection } = options;
  const load = prefillLoad(request);
  let endPrefill = () => {};
  const slotOptions: SlotOptions = {
    ...streamQueueLimits(request, { hasBegun, nowMs: now() }),
    excluded,
    signal,
    isResumed: hasBegun,
    hasBegun,
    rejection,
    ...(recentFailure === undefined ? {} : { recentFailure }),
    preferred: promptCacheIndex.findServer(request.promptKey),
    onAssigned: (name) => {
      endPrefill = reserveLoad(context, { name, load });
    },
  };
  await loadInquiry.ask(createDispatchRequest(request, slotOptions));
  const reservation = await acquireSlot(context, request, {
    ...slotOptions,
    prefersReported: true,
  });
  const server = reservation.server as RegisteredServer;
  return { server, release: reservation.release, endPrefill };
}

/** Releases a slot that is not used, if there is one. */
export function releaseSlot(slot: StreamSlot | undefined): void {
  slot?.endPrefill();
  slot?.release();
}
