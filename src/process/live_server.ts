/** What an entry knows of a backend server that registered itself. */

import type { BackendServer } from "../version/types.ts";
import type { UnansweredCalls } from "./server_ejection.ts";

/** A backend server as the platform lists it. */
export interface LiveServer extends BackendServer {
  readonly isLeaving: boolean;
  /** When this incarnation started, on the server's clock in ms; 0 if unknown. */
  readonly startedMs: number;
}

/** Work at a server. */
export interface ServerLoad {
  readonly requests: number;
  /** Memory that the requests take at most, in tokens. */
  readonly tokens: number;
  /** Prompt tokens that have not been read yet. */
  readonly unreadTokens: number;
}

/** No work. */
export const NO_LOAD: ServerLoad = { requests: 0, tokens: 0, unreadTokens: 0 };

/** An entry's knowledge of one server; replaced, never changed. */
export interface LiveServerView {
  readonly server: LiveServer;
  /** Memory of the server in tokens; infinite for plain services. */
  readonly kvCacheTokens: number;
  /** Work that this entry gave it. */
  readonly ownLoad: ServerLoad;
  /** Work that other entries say they gave it. */
  readonly peerLoad: ServerLoad;
  /** No new work before this time, on the monotonic clock in ms. */
  readonly ejectedUntilMs: number;
  /** It said that it is full; no new work before this time, as above. */
  readonly fullUntilMs: number;
  /** Answers that it lost of late, so it gets less and less work. */
  readonly unansweredCalls: UnansweredCalls;
  /** When bytes last came from it, on the monotonic clock in ms. */
  readonly lastActivityMs: number;
}

/** Returns the sum of two loads. */
export function addLoad(a: ServerLoad, b: ServerLoad): ServerLoad {
  return {
    requests: a.requests + b.requests,
    tokens: a.tokens + b.tokens,
    unreadTokens: a.unreadTokens + b.unreadTokens,
  };
}

/** Returns a load without a part of it; never below zero. */
export function subtractLoad(a: ServerLoad, b: ServerLoad): ServerLoad {
  return {
    requests: Math.max(0, a.requests - b.requests),
    tokens: Math.max(0, a.tokens - b.tokens),
    unreadTokens: Math.max(0, a.unreadTokens - b.unreadTokens),
  };
}
