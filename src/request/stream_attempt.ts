/**
 * One sending of a stream to a server, from its first byte to its end: the
 * limits under which it is given up, the copy of its run, and the work that it
 * counts as at its server.
 */

import { PREFILL_TOKENS_PER_MS } from "../constants.ts";
import { AttemptError, FailureCause } from "../errors.ts";
import { addLoad, type LiveServer } from "../process/live_server.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { effectiveDeadlineMs, type ProxyRequest } from "./proxy_request.ts";
import type { AttemptRecord } from "./attempt_history.ts";
import { type KvCopy, KvCopyManager } from "./kv_copy_manager.ts";
import {
  FIRST_EVENT_STALL_MS,
  firstEventTimeoutMs,
  KV_COPY_FIRST_EVENT_STALL_MS,
} from "./stall_policy.ts";
import { StallDetector } from "./stall_detector.ts";

/** A place for one sending of a stream. */
export interface StreamSlot {
  readonly server: LiveServer;
  /** The copy of the run that the server holds, if it does. */
  readonly kvCopy?: KvCopy;
  /** Gives the place back. */
  readonly release: () => void;
  /** Notes that the server has no more of the prompt to read. */
  readonly endPrefill: () => void;
}

/** What a sending needs of its stream. */
export interface StreamAttemptOptions {
  readonly context: RelayContext;
  readonly request: ProxyRequest;
  readonly slot: StreamSlot;
  readonly record: AttemptRecord;
  /** Servers that must not keep a copy. */
  readonly excluded: ReadonlySet<string>;
  /** Events of the run received so far. */
  readonly eventCount: () => number;
}

/** A stream at one server. */
export class StreamAttempt {
  readonly slot: StreamSlot;
  readonly record: AttemptRecord;
  readonly stallDetector: StallDetector;
  readonly kvCopyManager: KvCopyManager;
  readonly #options: StreamAttemptOptions;
  readonly #startMs: number;
  readonly #stop = new AbortController();
  readonly #limit: NodeJS.Timeout;

  private constructor(options: StreamAttemptOptions) {
    const {
      context,
      request: order,
      slot: seat,
      record: entry,
      excluded,
      eventCount: events,
    } = options;
    const { server, kvCopy: copy } = seat;
    this.#options = options;
    this.#startMs = context.now();
    this.slot = seat;
    this.record = entry;
    this.kvCopyManager = KvCopyManager.create({
      context,
      request: order,
      server,
      excluded,
    });
    this.#limit = setTimeout(
      () => this.#lose(FailureCause.DeadlineExceeded, "time limit reached"),
      effectiveDeadlineMs(order) - context.now(),
    );
    this.stallDetector = StallDetector.create({
      reports: context.reports,
      server,
      id: order.id,
      firstEventStallMs: copy === undefined
        ? FIRST_EVENT_STALL_MS
        : KV_COPY_FIRST_EVENT_STALL_MS,
      firstEventTimeoutMs: firstEventTimeoutMs(unreadTokensAt(context, server)),
      eventCount: events,
      now: context.now,
      onLost: (cause, detail) => this.#lose(cause, detail),
    });
  }

  /** Begins to guard a sending. */
  static create(options: StreamAttemptOptions): StreamAttempt {
    return new StreamAttempt(options);
  }

  /** Aborts with an `AttemptError` when the sending is given up. */
  get signal(): AbortSignal {
    return this.#stop.signal;
  }

  /** Whether the server had the time to read the prompt. */
  get mayHavePrefilled(): boolean {
    const { context, request: order } = this.#options;
    const tookMs = context.now() - this.#startMs;
    return tookMs >= order.promptTokens / PREFILL_TOKENS_PER_MS;
  }

  /** Notes that the server made events, so it has read the prompt. */
  markEventsSeen(): void {
    this.slot.endPrefill();
    this.kvCopyManager.markEventsSeen();
  }

  /** Ends all guards; `isOver` frees the copy of a run that nobody goes on with. */
  close(isOver: boolean): void {
    clearTimeout(this.#limit);
    this.stallDetector.close();
    this.slot.endPrefill();
    this.slot.release();
    this.kvCopyManager.close(isOver);
  }

  #lose(cause: FailureCause, detail: string): void {
    this.#stop.abort(new AttemptError(cause, detail));
  }
}

/** Prompt tokens that a server has still to read, as far as is known here. */
function unreadTokensAt(
  { servers }: RelayContext,
  { name }: LiveServer,
): number {
  const view = servers.view(name);
  if (view === undefined) return 0;
  return addLoad(view.ownLoad, view.peerLoad).unreadTokens;
}
