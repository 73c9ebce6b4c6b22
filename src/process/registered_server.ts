/**
 * State that an entry keeps for a backend server registered with the platform.
 */

import type { ReportedLoad } from "../placement/load_inquiry.ts";
import type { BackendServer } from "../version/types.ts";
import {
  NO_UNANSWERED_CALLS,
  type UnansweredCalls,
} from "./server_ejection.ts";

/** A backend server as listed by the platform. */
export interface RegisteredServer extends BackendServer {
  readonly isLeaving: boolean;
  /**
   * When this incarnation started, in ms on the server's clock; 0 if unknown.
   */
  readonly startedMs: number;
  /** Version of its software; absent if unknown. */
  readonly version?: string;
}

/** Why a registration names no server that can be used. */
export interface UnusableField {
  readonly field: string;
  readonly expected: string;
  /** What the field holds, in bounded length. */
  readonly found: string;
}

/** Load of a server. */
export interface ServerLoad {
  readonly requests: number;
  /** KV cache that the requests use at most, in tokens. */
  readonly tokens: number;
  /** Prompt tokens that are not prefilled yet. */
  readonly unreadTokens: number;
}

/** An empty load. */
export const NO_LOAD: ServerLoad = { requests: 0, tokens: 0, unreadTokens: 0 };

/** Immutable snapshot of what an entry knows of one server. */
export interface RegisteredServerView {
  readonly server: RegisteredServer;
  /** KV cache capacity in tokens; infinite for plain services. */
  readonly kvCacheTokens: number;
  /** Load from this entry's requests. */
  readonly ownLoad: ServerLoad;
  /** Load from peer entries' requests, as they report it. */
  readonly peerLoad: ServerLoad;
  /** Load from all entries' requests as the server last reported it, if asked. */
  readonly reportedLoad?: ReportedLoad;
  /** Gets no new requests before this time, on the monotonic clock in ms. */
  readonly ejectedUntilMs: number;
  /**
   * End of the backoff after it refused a request as full, on the same clock.
   */
  readonly fullUntilMs: number;
  /** Recent calls without a response; each one lengthens the next ejection. */
  readonly unansweredCalls: UnansweredCalls;
  /** When data was last received from it, on the monotonic clock in ms. */
  readonly lastActivityMs: number;
  /** When it last responded under its name, on the same clock, if it did. */
  readonly respondedMs?: number;
}

/**
 * Returns the view of a server that is listed for the first time, at `nowMs`;
 * its KV cache capacity is not known yet.
 */
export function createView(
  server: RegisteredServer,
  nowMs: number,
): Omit<RegisteredServerView, "kvCacheTokens"> {
  return {
    server,
    ownLoad: NO_LOAD,
    peerLoad: NO_LOAD,
    ejectedUntilMs: 0,
    fullUntilMs: 0,
    unansweredCalls: NO_UNANSWERED_CALLS,
    lastActivityMs: nowMs,
  };
}

/** Returns the sum of two loads. */
export function addLoad(a: ServerLoad, b: ServerLoad): ServerLoad {
  return {
    requests: a.requests + b.requests,
    tokens: a.tokens + b.tokens,
    unreadTokens: a.unreadTokens + b.unreadTokens,
  };
}

/** Returns load `a` less load `b`, never below zero. */
export function subtractLoad(a: ServerLoad, b: ServerLoad): ServerLoad {
  return {
    requests: Math.max(0, a.requests - b.requests),
    tokens: Math.max(0, a.tokens - b.tokens),
    unreadTokens: Math.max(0, a.unreadTokens - b.unreadTokens),
  };
}
