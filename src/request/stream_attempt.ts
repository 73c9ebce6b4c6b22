/**
 * One attempt of a stream at one server: its deadline and stall detection, the
 * copy of its KV cache, and the load that it adds to the server.
 */

import { PREFILL_TOKENS_PER_MS } from "../constants.ts";
import { AttemptError, FailureCause } from "../errors.ts";
import {
  addLoad,
  type RegisteredServer,
} from "../process/registered_server.ts";
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

/** Options of a `StreamAttempt`. */
export interface StreamAttemptOptions {
  readonly context: RelayContext;
  readonly request: ProxyRequest;
  readonly slot: StreamSlot;
  readonly record: AttemptRecord;
  /** Names of servers that must not hold a copy. */
  readonly excluded: ReadonlySet<string>;
  /** Whether a silent attempt is given up; see `takeReplacement`. */
  readonly takeReplacement: (kvCopy: KvCopy | undefined) => boolean;
  /** Returns the number of events of the run received so far. */
  readonly eventCount: () => number;
}

/** An attempt with its timers and its KV cache copy. */
export class StreamAttempt {
  readonly slot: StreamSlot;
  readonly record: AttemptRecord;
  readonly stallDetector: StallDetector;
  readonly kvCopyManager: KvCopyManager;
  readonly #options: StreamAttemptOptions;
  readonly #startMs: number;
  readonly #abortController = new AbortController();
  readonly #deadlineTimer: NodeJS.Timeout;

  private constructor(options: StreamAttemptOptions) {
    const {
      context,
      request,
      slot,
      record,
      excluded,
      eventCount,
    } = options;
    const { server, kvCopy } = slot;
    this.#options = options;
    this.#startMs = context.now();
    this.slot = slot;
    this.record = record;
    this.kvCopyManager = KvCopyManager.create({
      context,
      request,
      server,
      excluded,
    });
    this.#deadlineTimer = setTimeout(
      () =>
        this.#fail(FailureCause.DeadlineExceeded, "request deadline exceeded"),
      effectiveDeadlineMs(request) - context.now(),
    );
    this.stallDetector = StallDetector.create({
      reports: context.reports,
      server,
      id: request.id,
      firstEventStallMs: kvCopy === undefined
        ? FIRST_EVENT_STALL_MS
        : KV_COPY_FIRST_EVENT_STALL_MS,
      firstEventTimeoutMs: firstEventTimeoutMs(unreadTokensAt(context, server)),
      eventCount,
      now: context.now,
      onLost: (cause, detail) => this.#fail(cause, detail),
      onSilent: (cause, detail) => this.#handleSilence(cause, detail),
    });
  }

  /** Starts the timers of an attempt. */
  static create(options: StreamAttemptOptions): StreamAttempt {
    return new StreamAttempt(options);
  }

  /** Aborts with an `AttemptError` when the attempt has failed. */
  get signal(): AbortSignal {
    return this.#abortController.signal;
  }

  /** Whether enough time has passed for the server to prefill the prompt. */
  get mayHavePrefilled(): boolean {
    const { context, request } = this.#options;
    const elapsedMs = context.now() - this.#startMs;
    return elapsedMs >= request.promptTokens / PREFILL_TOKENS_PER_MS;
  }

  /** Records that the server produced events, so the prefill is complete. */
  markEventsSeen(): void {
    this.slot.endPrefill();
    this.kvCopyManager.markEventsSeen();
  }

  /**
   * Stops the timers and releases the slot.
   *
   * @param shouldReleaseCopy whether to release the copy of a run that will not
   * be resumed
   */
  close(shouldReleaseCopy: boolean): void {
    clearTimeout(this.#deadlineTimer);
    this.stallDetector.close();
    this.slot.endPrefill();
    this.slot.release();
    this.kvCopyManager.close(shouldReleaseCopy);
  }

  #handleSilence(cause: FailureCause, detail: string): boolean {
    const isReplaced = this.#options.takeReplacement(this.kvCopyManager.copy);
    if (isReplaced) this.#fail(cause, detail);
    else if (cause === FailureCause.Unresponsive) {
      this.#options.context.silentServers.watch(this.slot.server);
    }
    return isReplaced;
  }

  #fail(cause: FailureCause, detail: string): void {
    this.#abortController.abort(new AttemptError(cause, detail));
  }
}

/** Returns the prompt tokens a server has still to prefill; 0 if unknown. */
function unreadTokensAt(
  { servers }: RelayContext,
  { name }: RegisteredServer,
): number {
  const view = servers.view(name);
  if (view === undefined) return 0;
  return addLoad(view.ownLoad, view.peerLoad).unreadTokens;
}
