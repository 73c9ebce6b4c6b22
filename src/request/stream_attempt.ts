/**
 * One attempt of a stream at one server: its request, deadline and stall
 * detection, the copy of its KV cache, and the load that it adds to the server.
 */

import type { BackendResponse } from "../connection/backend_request.ts";
import { PREFILL_TOKENS_PER_MS } from "../constants.ts";
import { AttemptError, FailureCause } from "../errors.ts";
import type { RecentFailure } from "../placement/choose_server.ts";
import { DrainingSource } from "../process/leaving_servers.ts";
import {
  addLoad,
  type RegisteredServer,
} from "../process/registered_server.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { ServerFailure } from "../process/server_ejection.ts";
import { effectiveDeadlineMs, type ProxyRequest } from "./proxy_request.ts";
import type { AttemptRecord } from "./attempt_history.ts";
import { AttemptProgress } from "./attempt_progress.ts";
import { ReplacementSearch, takeKvCopy } from "./attempt_replacement.ts";
import { isSlowResponse, logAttempt } from "./attempt_reporting.ts";
import { KvCopyManager } from "./kv_copy_manager.ts";
import type { ProxyExchange } from "./serve_request.ts";
import { firstEventStallMs, firstEventTimeoutMs } from "./stall_policy.ts";
import { StallDetector } from "./stall_detector.ts";
import {
  releaseSlot,
  type StreamSlot,
  type StreamSlotOptions,
} from "./stream_slot.ts";

/** Events without which a response shows no pace. */
const PACE_EVENTS_MIN = 10;

/** Options of a `StreamAttempt`. */
export interface StreamAttemptOptions {
  readonly context: RelayContext;
  readonly request: ProxyRequest;
  readonly slot: StreamSlot;
  readonly record: AttemptRecord;
  /** Names of servers that must not hold a copy. */
  readonly excluded: ReadonlySet<string>;
  /** Returns whether the stream may be sent to another server. */
  readonly canRetry: () => boolean;
  /** Waits for a slot that replaces this one. Errors: `RequestError`. */
  readonly acquireReplacement: (
    criteria: Omit<StreamSlotOptions, "hasBegun" | "rejection">,
  ) => Promise<StreamSlot>;
  /**
   * Called when another attempt replaces this one: a retry was taken for it,
   * and a slot unless it uses the copy.
   */
  readonly onReplaced: (slot: StreamSlot | undefined) => void;
  /** Returns the number of events of the run received so far. */
  readonly eventCount: () => number;
}

/** An attempt with its timers and its KV cache copy. */
export class StreamAttempt {
  readonly slot: StreamSlot;
  readonly record: AttemptRecord;
  readonly stallDetector: StallDetector;
  readonly #replacementSearch: ReplacementSearch<StreamSlot>;
  /** The latest sign that the server is silent. */
  #silence = new AttemptError(FailureCause.Stalled);
  readonly kvCopyManager: KvCopyManager;
  readonly #options: StreamAttemptOptions;
  readonly #startMs: number;
  #firstEventMs: number | undefined;
  readonly #abortController = new AbortController();
  /** Aborted when the attempt or its caller ends. */
  signal = this.#abortController.signal;
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
      firstEventStallMs: firstEventStallMs({
        targetMs: request.rank.targetMs,
        hasKvCopy: kvCopy !== undefined,
      }),
      firstEventTimeoutMs: firstEventTimeoutMs(unreadTokensAt(context, server)),
      eventCount,
      now: context.now,
      onLost: (cause, detail) => this.#fail(cause, detail),
      onSilent: (cause, detail) => this.#handleSilence(cause, detail),
      onAlive: () => this.#replacementSearch.cancel(),
    });
    this.#replacementSearch = ReplacementSearch.create<StreamSlot>({
      context,
      request,
      canRetry: options.canRetry,
      server: server.name,
      failedServers: excluded,
      acquire: (criteria) =>
        options.acquireReplacement({
          ...criteria,
          recentFailure: this.#recentFailure(),
        }),
      release: releaseSlot,
      onFound: (slot) => this.#replace(slot),
    });
  }

  /** Starts the timers of an attempt. */
  static create(options: StreamAttemptOptions): StreamAttempt {
    return new StreamAttempt(options);
  }

  /**
   * Logs the start of the attempt.
   *
   * @param resumeAfter id of the event that the response continues after, if any
   */
  logStart(resumeAfter: string | undefined): void {
    const { context, request } = this.#options;
    const { promptKey: prompt, promptParts } = request;
    logAttempt(context, {
      request,
      server: this.slot.server,
      details: {
        from_copy: this.slot.kvCopy !== undefined,
        after: resumeAfter ?? "",
        backup: this.kvCopyManager.backup?.name ?? "",
        prompt,
        prompt_parts: promptParts.join(" "),
        read_at: context.promptCacheIndex.findServer(prompt) ?? "",
        reported: context.servers.reportedLoad(this.slot.server.name)
          ?.requests ?? "",
      },
    });
  }

  /**
   * Sends the request to the server, and records what the head of its response
   * shows. Errors: `AttemptError`.
   *
   * @param resumeAfter see `logStart`
   */
  async send(
    { caller, open }: ProxyExchange,
    resumeAfter: string | undefined,
  ): Promise<BackendResponse> {
    const { context, request } = this.#options;
    const { server, kvCopy } = this.slot;
    this.signal = AbortSignal.any([caller.signal, this.signal]);
    const response = await open({
      server,
      timeoutMs: effectiveDeadlineMs(request) - context.now(),
      lastEventId: resumeAfter ?? request.lastEventId,
      kvCopy,
      backupServer: this.kvCopyManager.backup,
      signal: this.signal,
      onSent: () => this.record.progress = AttemptProgress.Sent,
      onHoldOff: (ms) => context.servers.holdOff(server, ms),
    });
    if (response.isServerLeaving) {
      context.servers.markLeaving(server, DrainingSource.Answer);
    }
    if (response.hasNotRun) this.#recordNotRun(response);
    else this.#recordRun();
    return response;
  }

  #recordNotRun({ isMisdirected }: BackendResponse): void {
    const { servers } = this.#options.context;
    const { server, kvCopy } = this.slot;
    this.record.progress = AttemptProgress.KnownNotRun;
    // A server that declines because it lacks the copy is not full; a later
    // attempt prefills again.
    if (isMisdirected) servers.eject(server.name, ServerFailure.Replaced);
    else if (kvCopy === undefined) servers.markFull(server.name);
  }

  #recordRun(): void {
    const { context, request } = this.#options;
    const { server } = this.slot;
    this.record.progress = AttemptProgress.KnownRun;
    this.record.respondedMs = context.now();
    context.servers.recordAcceptance(server);
    context.promptCacheIndex.record(request.promptKey, server.name);
  }

  /** Whether enough time has passed for the server to prefill the prompt. */
  get mayHavePrefilled(): boolean {
    const { context, request } = this.#options;
    const elapsedMs = context.now() - this.#startMs;
    return elapsedMs >= request.promptTokens / PREFILL_TOKENS_PER_MS;
  }

  /** Records progress of the run; the next stall timeout is `timeoutMs`. */
  recordActivity(timeoutMs: number): void {
    this.stallDetector.recordActivity(timeoutMs);
    this.#replacementSearch.cancel();
  }

  /** Records that the server produced events, so the prefill is complete. */
  markEventsSeen(): void {
    if (this.#firstEventMs === undefined) {
      this.#firstEventMs = this.#options.context.now();
      this.recordLatency(this.#firstEventMs - this.#startMs);
    }
    this.slot.endPrefill();
    this.kvCopyManager.markEventsSeen();
  }

  /** Records that the response is complete. */
  markComplete(): void {
    const { context, request } = this.#options;
    const { eventCount } = this.record;
    if (this.#firstEventMs === undefined || eventCount < PACE_EVENTS_MIN) {
      return;
    }
    context.rollouts.recordResponse({
      server: this.slot.server,
      aspect: `${request.route}, time per event`,
      sentMs: this.#startMs,
      latencyMs: (context.now() - this.#firstEventMs) / (eventCount - 1),
    });
  }

  /**
   * Counts the response for its server's version.
   *
   * @param latencyMs until its first event; `undefined` if it is a failure
   */
  recordLatency(latencyMs: number | undefined): void {
    const { context, request } = this.#options;
    // A copy saves the time that is compared.
    if (this.slot.kvCopy !== undefined) return;
    context.rollouts.recordResponse({
      server: this.slot.server,
      aspect: request.route,
      sentMs: this.#startMs,
      latencyMs,
    });
  }

  /** Counts an attempt that has failed, if it shows how slow its server is. */
  recordFailure(error: AttemptError): void {
    if (this.#firstEventMs !== undefined || !isSlowResponse(error)) return;
    this.recordLatency(this.#options.context.now() - this.#startMs);
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
    this.#replacementSearch.cancel();
    this.slot.endPrefill();
    this.slot.release();
    this.kvCopyManager.close(shouldReleaseCopy);
  }

  #handleSilence(cause: FailureCause, detail: string): void {
    // An attempt that is replaced already takes no second slot.
    if (this.#abortController.signal.aborted) return;
    const { context } = this.#options;
    this.#silence = new AttemptError(cause, detail);
    if (takeKvCopy(this.#options, this.kvCopyManager.copy)) {
      return this.#replace(undefined);
    }
    if (cause === FailureCause.Unresponsive) {
      context.silentServers.watch(this.slot.server);
    }
    this.#replacementSearch.start();
  }

  /** The failure of the server, unless it returned a report. */
  #recentFailure(): RecentFailure | undefined {
    const { context, slot } = this.#options;
    const isUnresponsive =
      this.#silence.failureCause === FailureCause.Unresponsive;
    return isUnresponsive
      ? { zone: slot.server.zone, atMs: context.now() }
      : undefined;
  }

  #replace(slot: StreamSlot | undefined): void {
    this.#replacementSearch.cancel();
    this.#options.onReplaced(slot);
    this.#abortController.abort(this.#silence);
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
