/**
 * Pauses that backend servers request when they reject a request. Until its end a
 * server gets no requests from this entry, even if its registration changes
 * meanwhile.
 */

import type { RegisteredServer } from "../process/registered_server.ts";

/** A pause of one server incarnation. Times are on the monotonic clock in ms. */
export interface HoldOff {
  /** Start of the incarnation on its own clock, in ms; 0 if unknown. */
  readonly startedMs: number;
  /** The server gets no requests before this time. */
  readonly untilMs: number;
  /** End of the pause as the server stated it; later than `untilMs` if long. */
  readonly statedUntilMs: number;
  /** Inquiries since the pause began: load reports, lists of cached prompts. */
  readonly inquiryCount: number;
}

/**
 * Longest pause that is honored in full, in ms. Servers recover from an overload
 * or a restart in far less time, so a longer pause is more likely a mistake,
 * which must not exclude a server for its whole length. After this time the
 * server gets one request at a time until it accepts one.
 */
export const HOLD_OFF_MAX_MS = 120_000;
/** Time after which any pause is over, however long it was stated, in ms. */
const STATED_HOLD_OFF_MAX_MS = 3_600_000;
/**
 * Inquiries within a pause. The platform permits two requests; the
 * other may be one that was sent before the pause and arrives late.
 */
const INQUIRIES_MAX = 1;

/**
 * Returns the pause after a server asked for one. It never ends before one that
 * the same incarnation asked for earlier, since each of them must be honored.
 *
 * @param holdOffMs any number; one that is not positive asks for no pause
 */
export function extendHoldOff(
  previous: HoldOff | undefined,
  { startedMs, nowMs, holdOffMs }: {
    readonly startedMs: number;
    readonly nowMs: number;
    readonly holdOffMs: number;
  },
): HoldOff | undefined {
  if (!(holdOffMs > 0)) return previous;
  if (previous !== undefined && isLaterStart(previous.startedMs, startedMs)) {
    return previous;
  }
  const untilMs = nowMs + Math.min(holdOffMs, HOLD_OFF_MAX_MS);
  const statedUntilMs = nowMs + Math.min(holdOffMs, STATED_HOLD_OFF_MAX_MS);
  if (previous === undefined || isLaterStart(startedMs, previous.startedMs)) {
    return { startedMs, untilMs, statedUntilMs, inquiryCount: 0 };
  }
  return {
    startedMs: Math.max(startedMs, previous.startedMs),
    untilMs: Math.max(untilMs, previous.untilMs),
    statedUntilMs: Math.max(statedUntilMs, previous.statedUntilMs),
    inquiryCount: previous.untilMs > nowMs ? previous.inquiryCount : 0,
  };
}

/** Whether a pause applies to an incarnation that started at `startedMs`. */
export function appliesTo(
  holdOff: HoldOff,
  { startedMs }: { readonly startedMs: number },
): boolean {
  return !isLaterStart(startedMs, holdOff.startedMs);
}

/** Whether a server that may have a pause can get a request now. */
export function mayGetRequest(
  { untilMs, statedUntilMs }: HoldOff,
  { nowMs, openRequests }: {
    readonly nowMs: number;
    /** This entry's requests that the server has. */
    readonly openRequests: number;
  },
): boolean {
  if (nowMs < untilMs) return false;
  return nowMs >= statedUntilMs || openRequests === 0;
}

/** Whether a server may be asked for its load report or its cached prompts. */
export function mayInquire(holdOff: HoldOff, nowMs: number): boolean {
  return nowMs >= holdOff.untilMs || holdOff.inquiryCount < INQUIRIES_MAX;
}

/** Whether start time `a` is known to be later than `b`. */
function isLaterStart(a: number, b: number): boolean {
  return a > 0 && b > 0 && a > b;
}

/** The pauses of all servers, by name. */
export class ServerHoldOffs {
  readonly #now: () => number;
  readonly #holdOffs = new Map<string, HoldOff>();

  private constructor(now: () => number) {
    this.#now = now;
  }

  /** Starts without pauses; `now` is a monotonic clock in ms. */
  static create(now: () => number): ServerHoldOffs {
    return new ServerHoldOffs(now);
  }

  /** Whether no server has a pause; may be `false` for a while after the last. */
  get isEmpty(): boolean {
    return this.#holdOffs.size === 0;
  }

  /** Records that a server asked for a pause; returns whether that has effect. */
  extend({ name, startedMs }: RegisteredServer, holdOffMs: number): boolean {
    const nowMs = this.#now();
    this.#removeEnded(nowMs);
    const previous = this.#holdOffs.get(name);
    const options = { startedMs, nowMs, holdOffMs };
    const holdOff = extendHoldOff(previous, options);
    if (holdOff === undefined || holdOff === previous) return false;
    this.#holdOffs.set(name, holdOff);
    return true;
  }

  /** Until when a server gets no requests; `undefined` without a pause. */
  untilMs(server: RegisteredServer): number | undefined {
    const holdOff = this.#find(server);
    if (holdOff === undefined || holdOff.untilMs <= this.#now()) {
      return undefined;
    }
    return holdOff.untilMs;
  }

  /** Whether a server that has `openRequests` of this entry may get another. */
  mayGetRequest(server: RegisteredServer, openRequests: number): boolean {
    const holdOff = this.#find(server);
    return holdOff === undefined ||
      mayGetRequest(holdOff, { nowMs: this.#now(), openRequests });
  }

  /** See the function `mayInquire`; counts the inquiry if so. */
  takeInquiry(server: RegisteredServer): boolean {
    const holdOff = this.#find(server);
    if (holdOff === undefined) return true;
    if (!mayInquire(holdOff, this.#now())) return false;
    const inquiryCount = holdOff.inquiryCount + 1;
    this.#holdOffs.set(server.name, { ...holdOff, inquiryCount });
    return true;
  }

  /** Records that a server accepted a request, which ends an overlong pause. */
  recordAcceptance(server: RegisteredServer): void {
    const holdOff = this.#find(server);
    if (holdOff !== undefined && holdOff.untilMs <= this.#now()) {
      this.#holdOffs.delete(server.name);
    }
  }

  #removeEnded(nowMs: number): void {
    for (const [name, { statedUntilMs }] of this.#holdOffs) {
      if (statedUntilMs <= nowMs) this.#holdOffs.delete(name);
    }
  }

  #find(server: RegisteredServer): HoldOff | undefined {
    const holdOff = this.#holdOffs.get(server.name);
    if (holdOff === undefined) return undefined;
    return appliesTo(holdOff, server) ? holdOff : undefined;
  }
}
