/**
 * Decides which requests an entry still sends to backend servers during a
 * graceful shutdown. Callers keep using open connections, and a request that is
 * sent too late would be cut off when the process exits. A request may wait long
 * before it is sent, so the decision is made when it is sent, not when it
 * arrives.
 */

import { RequestError, RequestErrorType } from "../errors.ts";
import type { RequestKind } from "./proxy_request.ts";

/** Dependencies of `ShutdownAdmission`. */
export interface ShutdownAdmissionOptions<Kind> {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Returns until when requests of a kind are sent, on that clock in ms. */
  readonly closingMs: (kind: Kind, shutdown: Shutdown) => number;
  /** Called when requests of a kind are no longer sent to servers. */
  readonly onKindClosed: () => void;
}

/** A shutdown in progress; times are on the monotonic clock in ms. */
export interface Shutdown {
  readonly startMs: number;
  /** When open requests are cut off. */
  readonly endMs: number;
}

/** A request whose deadline a shutdown can limit. */
interface AdmissibleRequest<Kind> {
  readonly kind: Kind;
  /** On the monotonic clock, in ms. */
  readonly callerDeadlineMs: number;
}

/** A request that waits before it can be sent. */
interface WaitingRequest<Kind> {
  readonly kind: Kind;
  readonly reject: (error: RequestError) => void;
}

/** Time before the end at which accepted requests are answered, in ms. */
const RESPONSE_MARGIN_MS = 100;
/** Longest delay of a timer of Node, in ms. */
const TIMER_MAX_MS = 2 ** 31 - 1;
/** Suggested retry delay, in s; short, since other entries accept requests. */
const RETRY_AFTER_S = 0.02;

/**
 * The admission of requests by one entry. `Kind` holds what the time limits of a
 * request depend on.
 */
export class ShutdownAdmission<Kind = RequestKind | undefined> {
  readonly #options: ShutdownAdmissionOptions<Kind>;
  readonly #waiting = new Set<WaitingRequest<Kind>>();
  /** `undefined` before a shutdown. */
  #shutdown: Shutdown | undefined;
  #checkTimer: NodeJS.Timeout | undefined;
  /** When the waiting requests are checked next, on the clock in ms. */
  #nextCheckMs = Infinity;

  private constructor(options: ShutdownAdmissionOptions<Kind>) {
    this.#options = options;
  }

  /** Creates an admission that accepts all requests until `beginShutdown`. */
  static create<Kind>(
    options: ShutdownAdmissionOptions<Kind>,
  ): ShutdownAdmission<Kind> {
    return new ShutdownAdmission(options);
  }

  /** Starts a shutdown that cuts off open requests after `deadlineMs`. */
  beginShutdown(deadlineMs: number): void {
    const startMs = this.#options.now();
    this.#shutdown = { startMs, endMs: startMs + deadlineMs };
    this.#checkWaiting();
  }

  /**
   * Changes when a shutdown in progress cuts off open requests: after
   * `deadlineMs`, counted from its start.
   */
  setDeadline(deadlineMs: number): void {
    if (this.#shutdown === undefined) return;
    const { startMs } = this.#shutdown;
    this.#shutdown = { startMs, endMs: startMs + deadlineMs };
    this.#checkWaiting();
  }

  /**
   * Returns why a request must not be sent to a server now, if so. In a shutdown
   * `onKindClosed` is called again when this changes for its kind.
   */
  rejection(kind: Kind): RequestError | undefined {
    if (this.#shutdown === undefined) return undefined;
    const closingMs = this.#options.closingMs(kind, this.#shutdown);
    if (closingMs <= this.#options.now()) return createShutdownError();
    this.#scheduleCheck(closingMs);
    return undefined;
  }

  /**
   * Returns the request with a deadline before the end of the process.
   *
   * Errors: `RequestError` of type not run if it would be sent too late.
   */
  admit<Request extends AdmissibleRequest<Kind>>(request: Request): Request {
    const rejection = this.rejection(request.kind);
    if (rejection !== undefined) throw rejection;
    if (this.#shutdown === undefined) return request;
    const endMs = this.#shutdown.endMs - RESPONSE_MARGIN_MS;
    return {
      ...request,
      callerDeadlineMs: Math.min(request.callerDeadlineMs, endMs),
    };
  }

  /**
   * Settles like `work`, for which a request waits before it can be sent.
   *
   * Errors: `RequestError` of type not run as soon as it would be sent too late.
   */
  whileAccepted<Value>(
    kind: Kind,
    work: Promise<Value>,
  ): Promise<Value> {
    return new Promise((resolve, reject) => {
      const waiting: WaitingRequest<Kind> = { kind, reject };
      this.#waiting.add(waiting);
      work.then(resolve, reject).finally(() => this.#waiting.delete(waiting));
      const rejection = this.rejection(kind);
      if (rejection !== undefined) reject(rejection);
    });
  }

  #scheduleCheck(checkMs: number): void {
    if (this.#nextCheckMs <= checkMs) return;
    this.#nextCheckMs = checkMs;
    clearTimeout(this.#checkTimer);
    // A timer may fire early by this clock: it counts from the event loop's
    // last turn. The check then schedules another one.
    this.#checkTimer = setTimeout(
      () => this.#checkWaiting(),
      Math.min(checkMs - this.#options.now(), TIMER_MAX_MS),
    ).unref();
  }

  /** Rejects the waiting requests that are no longer accepted. */
  #checkWaiting(): void {
    this.#nextCheckMs = Infinity;
    for (const { kind, reject } of this.#waiting) {
      const rejection = this.rejection(kind);
      if (rejection !== undefined) reject(rejection);
    }
    this.#options.onKindClosed();
  }
}

/** Returns the error of a request that an entry no longer accepts. */
export function createShutdownError(): RequestError {
  return new RequestError(
    RequestErrorType.NotRun,
    "this entry is shutting down; retry at another entry",
    RETRY_AFTER_S,
  );
}
