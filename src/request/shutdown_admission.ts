/**
 * Decides which requests an entry still sends to backend servers during a
 * graceful shutdown. Callers keep using open connections, and a request that is
 * sent too late would be cut off when the process exits. A request may wait long
 * before it is sent, so the decision is made when it is sent, not when it
 * arrives.
 */

import { RequestError, RequestErrorType } from "../errors.ts";
import { type ProxyRequest, RequestKind } from "./proxy_request.ts";

/** Dependencies of `ShutdownAdmission`. */
export interface ShutdownAdmissionOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Called when requests of a kind are no longer sent to servers. */
  readonly onKindClosed: () => void;
}

/** A shutdown in progress; times are on the monotonic clock in ms. */
interface Shutdown {
  readonly startMs: number;
  /** When open requests are cut off. */
  readonly endMs: number;
}

/** A request that waits before it can be sent. */
interface WaitingRequest {
  readonly kind: RequestKind | undefined;
  readonly reject: (error: RequestError) => void;
}

/**
 * Time after the start of a shutdown in which streams are accepted, in ms. The
 * platform sends no new connections after 2 s, and a stream needs the remaining
 * 5 s.
 */
const STREAM_ACCEPT_WINDOW_MS = 2_600;
/** Time that must remain for other requests to be accepted, in ms. */
const CALL_MIN_REMAINING_MS = 3_000;
/** Time before the end at which accepted requests are answered, in ms. */
const RESPONSE_MARGIN_MS = 100;
/** Suggested retry delay, in s; short, since other entries accept requests. */
const RETRY_AFTER_S = 0.02;

/** The admission of requests by one entry. */
export class ShutdownAdmission {
  readonly #options: ShutdownAdmissionOptions;
  readonly #waiting = new Set<WaitingRequest>();
  /** `undefined` before a shutdown. */
  #shutdown: Shutdown | undefined;

  private constructor(options: ShutdownAdmissionOptions) {
    this.#options = options;
  }

  /** Creates an admission that accepts all requests until `beginShutdown`. */
  static create(options: ShutdownAdmissionOptions): ShutdownAdmission {
    return new ShutdownAdmission(options);
  }

  /** Starts a shutdown that cuts off open requests after `deadlineMs`. */
  beginShutdown(deadlineMs: number): void {
    const startMs = this.#options.now();
    this.#shutdown = { startMs, endMs: startMs + deadlineMs };
    for (const kind of Object.values(RequestKind)) this.#awaitClosing(kind);
  }

  /**
   * Returns why a request must not be sent to a server now, if so.
   *
   * @param kind `undefined` if it is not known yet
   */
  rejection(kind: RequestKind | undefined): RequestError | undefined {
    return this.#remainingMs(kind) > 0 ? undefined : createShutdownError();
  }

  /**
   * Returns the request with a deadline before the end of the process.
   *
   * Errors: `RequestError` of type not run if it would be sent too late.
   */
  admit(request: ProxyRequest): ProxyRequest {
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
    kind: RequestKind | undefined,
    work: Promise<Value>,
  ): Promise<Value> {
    return new Promise((resolve, reject) => {
      const waiting: WaitingRequest = { kind, reject };
      this.#waiting.add(waiting);
      work.then(resolve, reject).finally(() => this.#waiting.delete(waiting));
      const rejection = this.rejection(kind);
      if (rejection !== undefined) reject(rejection);
    });
  }

  /** Time in which requests of a kind are still sent, in ms. */
  #remainingMs(kind: RequestKind | undefined): number {
    if (this.#shutdown === undefined) return Infinity;
    const { startMs, endMs } = this.#shutdown;
    const closesAtMs = kind === RequestKind.Stream
      ? startMs + STREAM_ACCEPT_WINDOW_MS
      : endMs - CALL_MIN_REMAINING_MS;
    return closesAtMs - this.#options.now();
  }

  /** Rejects the waiting requests of a kind once it is no longer accepted. */
  #awaitClosing(kind: RequestKind): void {
    const remainingMs = this.#remainingMs(kind);
    // A timer may fire early by this clock: it counts from the event loop's
    // last turn.
    if (remainingMs > 0) {
      setTimeout(() => this.#awaitClosing(kind), remainingMs).unref();
      return;
    }
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
