/**
 * One generation: the output of one completion request, produced by one or more
 * attempts on backend servers that serve the same model version.
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { abortError } from "../connection/backend_request.ts";
import type {
  FinishReason,
  StreamEvent,
} from "../connection/engine_protocol.ts";
import { CancelResult, cancelStream } from "../connection/engine_stream.ts";
import { ATTEMPT_FAILURES_MAX, RETRY_AFTER_S } from "../constants.ts";
import {
  AttemptError,
  createInterruptedError,
  FailureCause,
  RequestError,
  RequestErrorType,
} from "../errors.ts";
import type { GenerationId, RequestId } from "../ids.ts";
import type { EntryContext } from "../process/entry_context.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import {
  type Attempt,
  type AttemptOptions,
  canStart,
  findCursorStream,
  readAttempt,
  reattach,
  startAttempt,
  type StreamLocation,
} from "./attempt.ts";
import type { CompletionRequest } from "./completion_request.ts";
import { createCursorWriter, type CursorWriter } from "./cursor.ts";
import { Journal, type JournalUpdate } from "./journal.ts";
import type { RequestTimes } from "./entry_admission.ts";
import { chooseRecovery, RecoveryStep } from "./recovery.ts";
import { isProvenHarmless, recordServerLoss } from "./suspect.ts";

/** A part of the output, ready to be sent to the caller. */
export interface CompletionChunk {
  readonly text: string;
  /** Cursor after this chunk. */
  readonly cursor: string;
  readonly finishReason: FinishReason | undefined;
}

/** Options of a generation. */
export interface GenerationOptions {
  readonly requestId: RequestId;
  readonly request: CompletionRequest;
  /** When the request's body was complete, on the monotonic clock in ms. */
  readonly receivedMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** How reading an attempt ended. */
enum ReadOutcome {
  Completed,
  Failed,
  /** The caller disconnected or the request was refused. */
  Abandoned,
}

/** Time that a token is assumed to need, in ms; slow engines need less. */
const TOKEN_DURATION_MS = 50;
/** Delay before another reattachment, in ms; a dying process ends in less. */
const REATTACH_DELAY_MS = 50;
/** Delay before the next attempt after a server rejected one, in ms. */
const REJECTED_RETRY_DELAY_MS = 50;

/** Produces the output of one request. */
export class Generation {
  readonly #context: EntryContext;
  readonly #options: GenerationOptions;
  readonly #id: GenerationId;
  readonly #modelVersion: string;
  readonly #journal: Journal;
  /** The caller already has the tokens before this position. */
  readonly #deliverFrom: number;
  /** Names of servers on which an attempt failed. */
  readonly #failedServers = new Set<string>();
  #writeCursor: CursorWriter = () => "";
  /** Whether an attempt of this request may have run. */
  #mayHaveRun = false;
  /** Whether an attempt is open of which it is not known that it never ran. */
  #isAttemptOpen = false;
  readonly #startMs: number;
  #failures = 0;
  #wasPreempted = false;
  #cursorAttempt: Attempt | undefined;
  /** When the output was interrupted, on the monotonic clock in ms. */
  #interruptedAtMs: number | undefined;

  private constructor(context: EntryContext, options: GenerationOptions) {
    this.#context = context;
    this.#options = options;
    this.#startMs = context.now();
    const { model, maxTokens, resumption } = options.request;
    this.#id = resumption?.cursor.generation ??
      randomUUID() as string as GenerationId;
    this.#modelVersion = resumption?.cursor.modelVersion ?? model.version;
    this.#deliverFrom = resumption?.cursor.position ?? 0;
    this.#journal = resumption?.text === undefined
      ? Journal.create(maxTokens)
      : Journal.restore(maxTokens, {
        text: resumption.text,
        position: resumption.cursor.position,
      });
  }

  /** Creates the generation for a request; `run` starts it. */
  static create(
    context: EntryContext,
    options: GenerationOptions,
  ): Generation {
    return new Generation(context, options);
  }

  /** ID of the generation in the response. */
  get id(): GenerationId {
    return this.#id;
  }

  /** Type of the error that is true if the generation ends now. */
  get endingType(): RequestErrorType {
    return this.#isAttemptOpen || this.#isResumed
      ? RequestErrorType.Interrupted
      : RequestErrorType.NotRun;
  }

  /** Number of tokens generated so far. */
  get position(): number {
    return this.#journal.position;
  }

  /**
   * Yields the chunks of the output in order, each once.
   *
   * Errors: a `RequestError`; its type is not run only if no server can have
   * run any part of the request.
   */
  async *run(): AsyncGenerator<CompletionChunk> {
    this.#rejectPoisonRequest();
    let attempt = this.#reattachToCursor();
    while (!this.#journal.isFull) {
      attempt ??= await this.#startAttempt();
      this.#isAttemptOpen = true;
      let outcome = ReadOutcome.Abandoned;
      try {
        this.#createCursorWriter(attempt);
        for await (const events of this.#readAttempt(attempt)) {
          for (const update of this.#acceptEvents(events)) {
            const isComplete = update.finishReason !== undefined;
            if (isComplete) outcome = ReadOutcome.Completed;
            if (update.text !== "" || isComplete) yield this.#toChunk(update);
            if (isComplete) return this.#clearSuspicion(attempt);
            this.#checkNoGap(update);
          }
          this.#endIsolationOnProgress(attempt);
        }
      } catch (error) {
        if (!(error instanceof AttemptError)) throw error;
        outcome = ReadOutcome.Failed;
        attempt.close();
        this.#isAttemptOpen = error.mayHaveRun;
        attempt = await this.#recover(attempt, error);
        this.#isAttemptOpen = false;
      } finally {
        if (outcome !== ReadOutcome.Failed) this.#endAttempt(attempt, outcome);
      }
    }
  }

  #readAttempt(attempt: Attempt): AsyncGenerator<readonly StreamEvent[]> {
    return readAttempt(this.#context, {
      attempt,
      modelVersion: this.#modelVersion,
      signal: this.#options.signal,
    });
  }

  /** Releases the attempt's slot; cancels a stream that did not complete. */
  #endAttempt(attempt: Attempt | undefined, outcome: ReadOutcome): void {
    if (attempt === undefined) return;
    attempt.close();
    if (outcome === ReadOutcome.Completed) return;
    cancelStream(attempt.address, attempt.stream);
  }

  #checkNoGap({ gap }: JournalUpdate): void {
    if (gap !== undefined) {
      throw new AttemptError(FailureCause.PositionGap, gap);
    }
  }

  #endIsolationOnProgress(attempt: Attempt): void {
    const tokens = this.#journal.position - attempt.streamStart;
    if (isProvenHarmless(tokens)) attempt.endIsolation();
  }

  #clearSuspicion(attempt: Attempt): void {
    attempt.endIsolation();
    this.#context.suspicions.clear(this.#options.request.crashFingerprint);
  }

  /** Adds events to the journal; yields only what the caller does not have. */
  *#acceptEvents(events: readonly StreamEvent[]): Generator<JournalUpdate> {
    const delivered = events.filter(({ p, end }) =>
      p < this.#deliverFrom && end === undefined
    );
    if (delivered.length > 0) {
      const update = this.#journal.accept(delivered);
      if (update.gap !== undefined) yield { ...update, text: "" };
      if (update.position === this.#deliverFrom) {
        this.#checkResumedText(update.textHash);
      }
    }
    if (delivered.length < events.length) {
      yield this.#journal.accept(events.slice(delivered.length));
    }
  }

  #toChunk(
    { text, position, textHash, finishReason }: JournalUpdate,
  ): CompletionChunk {
    if (this.#interruptedAtMs !== undefined) {
      const interruptionMs = this.#context.now() - this.#interruptedAtMs;
      this.#context.metrics.resumeSeconds.observe(interruptionMs / 1_000);
      this.#interruptedAtMs = undefined;
    }
    return {
      text,
      finishReason,
      cursor: this.#writeCursor(position, textHash),
    };
  }

  #createCursorWriter({ server, stream, streamStart }: Attempt): void {
    const { customer, fingerprint } = this.#options.request;
    this.#writeCursor = createCursorWriter(this.#context.settings.cursorKey, {
      generation: this.#id,
      customer: customer.name,
      fingerprint,
      modelVersion: this.#modelVersion,
      server,
      stream,
      streamStart,
    });
  }

  /** Returns an attempt that resumes the cursor's stream, if possible. */
  #reattachToCursor(): Attempt | undefined {
    const { resumption } = this.#options.request;
    if (resumption === undefined || this.#journal.isFull) return undefined;
    const location = findCursorStream(this.#context, resumption);
    if (location === undefined) return undefined;
    this.#cursorAttempt = this.#reattach(location, 1);
    return this.#cursorAttempt;
  }

  #reattach(location: StreamLocation, reattachments: number): Attempt {
    const from = this.#journal.position;
    return reattach(this.#context, { location, from, reattachments });
  }

  /** Continues to read the stream of an attempt whose connection closed. */
  async #reattachAgain(attempt: Attempt): Promise<Attempt> {
    const { reattachments } = attempt;
    if (reattachments > 0) await sleep(REATTACH_DELAY_MS);
    const next = this.#reattach(attempt, reattachments + 1);
    if (attempt === this.#cursorAttempt) this.#cursorAttempt = next;
    return next;
  }

  /** Waits in the dispatcher's queue for a slot; returns an attempt with it. */
  async #startAttempt(): Promise<Attempt> {
    await this.#context.pauseDetector.ready();
    const options: AttemptOptions = {
      ...this.#options,
      modelVersion: this.#modelVersion,
      journal: this.#journal,
      excluded: this.#failedServers,
      waitMs: this.#remainingMs(),
      isResumed: this.#isResumed,
      times: this.#mayHaveRun ? undefined : this.#times(),
    };
    // Failed servers are tried again when no other server is left.
    if (!canStart(this.#context, options)) this.#failedServers.clear();
    if (options.waitMs === 0) {
      throw this.#createError("no backend server accepted the request in time");
    }
    try {
      return await startAttempt(this.#context, options);
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
      throw this.#createError(error.message, error.retryAfterS);
    }
  }

  /** Whether a server may have run part of this request or an earlier one. */
  get #isResumed(): boolean {
    return this.#mayHaveRun || this.#options.request.resumption !== undefined;
  }

  #times(): RequestTimes {
    const { receivedMs, request } = this.#options;
    const tokens = request.maxTokens - this.#journal.position;
    return {
      receivedMs,
      durationMs: this.#context.settings.firstTokenTimeoutMs +
        tokens * TOKEN_DURATION_MS,
    };
  }

  /** Time left to find a server, in ms; rejected attempts use it up too. */
  #remainingMs(): number {
    const { now, settings } = this.#context;
    const { targetMs } = this.#options.request.rank;
    const resumeTimeoutMs = this.#wasPreempted
      ? Math.max(targetMs, settings.resumeTimeoutMs)
      : settings.resumeTimeoutMs;
    const timeoutMs = this.#isResumed ? resumeTimeoutMs : targetMs;
    const sinceMs = this.#interruptedAtMs ?? this.#startMs;
    return Math.max(0, sinceMs + timeoutMs - now());
  }

  /** Handles a failed attempt: reattaches, starts a new one, or throws. */
  async #recover(
    attempt: Attempt,
    failure: AttemptError,
  ): Promise<Attempt | undefined> {
    const { failureCause } = failure;
    const { signal } = this.#options;
    if (signal.aborted) {
      if (failure.mayHaveRun) this.#mayHaveRun = true;
      cancelStream(attempt.address, attempt.stream);
      throw this.#createError(abortError(signal).message);
    }
    if (failureCause === FailureCause.Preempted) {
      return this.#handlePreemption(attempt);
    }
    this.#wasPreempted = false;
    this.#recordFailure(attempt, failure);
    if (this.#failures > ATTEMPT_FAILURES_MAX) {
      await this.#cancelStalledStream(attempt);
      throw this.#createError(
        `more than ${ATTEMPT_FAILURES_MAX} attempts failed`,
      );
    }
    const { reattachments } = attempt;
    if (reattachments > 0 && this.#journal.position < this.#deliverFrom) {
      throw createInterruptedError(
        "the cursor's stream is gone; repeat the request without Last-Event-ID",
      );
    }
    const isSilent = this.#journal.position === attempt.streamStart;
    const isFromCursor = attempt === this.#cursorAttempt;
    const step = chooseRecovery({
      lossCause: failureCause,
      reattachments,
      isFromCursor,
      isSilent,
    });
    return await this.#performRecovery(step, attempt);
  }

  async #performRecovery(
    step: RecoveryStep,
    attempt: Attempt,
  ): Promise<Attempt | undefined> {
    switch (step) {
      case RecoveryStep.Reattach:
        return await this.#reattachAgain(attempt);
      case RecoveryStep.SuspectRequest:
        this.#suspectRequest(attempt);
        break;
      case RecoveryStep.RetryElsewhere:
        await sleep(REJECTED_RETRY_DELAY_MS);
        break;
      case RecoveryStep.CancelStream:
        await this.#cancelStalledStream(attempt);
        break;
      case RecoveryStep.EjectServer:
        this.#ejectServer(attempt);
        break;
    }
    return undefined;
  }

  /** Cancels a preempted stream; its journal is resumed later. */
  #handlePreemption(attempt: Attempt): undefined {
    this.#mayHaveRun = true;
    this.#wasPreempted = true;
    this.#interruptedAtMs ??= this.#context.now();
    cancelStream(attempt.address, attempt.stream);
    return undefined;
  }

  #recordFailure(attempt: Attempt, failure: AttemptError): void {
    const { log, metrics, now } = this.#context;
    if (failure.mayHaveRun) {
      this.#interruptedAtMs ??= now();
      this.#failures++;
    }
    const isSilent = this.#journal.position === attempt.streamStart;
    const isDecidedByCancel = failure.failureCause === FailureCause.Stalled &&
      isSilent;
    if (failure.mayHaveRun && !isDecidedByCancel) this.#mayHaveRun = true;
    this.#failedServers.add(attempt.server);
    metrics.attemptFailures.inc({ cause: failure.failureCause });
    log(LOG_EVENTS.attemptFailed, {
      request: this.#options.requestId,
      generation: this.#id,
      server: attempt.server,
      cause: failure.failureCause,
      detail: failure.message,
      position: this.#journal.position,
    });
  }

  /** Handles a server that lost the stream: it crashed during the request. */
  #suspectRequest(attempt: Attempt): void {
    this.#ejectServer(attempt);
    recordServerLoss(this.#context, {
      fingerprint: this.#options.request.crashFingerprint,
      server: attempt.server,
      tokens: this.#journal.position - attempt.streamStart,
    });
    this.#rejectPoisonRequest();
  }

  /** Cancels a stream without output and records whether it may have run. */
  async #cancelStalledStream(attempt: Attempt): Promise<void> {
    const result = await cancelStream(attempt.address, attempt.stream);
    if (result !== CancelResult.NeverRan) this.#mayHaveRun = true;
    if (result !== CancelResult.NoResponse) return;
    this.#context.serverPool.eject(attempt.server);
  }

  /** Ejects the server, so that it gets no new requests; cancels the stream. */
  #ejectServer(attempt: Attempt): void {
    this.#context.serverPool.eject(attempt.server);
    cancelStream(attempt.address, attempt.stream);
  }

  #rejectPoisonRequest(): void {
    const { crashFingerprint } = this.#options.request;
    if (!this.#context.suspicions.isRefused(crashFingerprint)) return;
    throw this.#createError(
      "this request is suspected of crashing backend servers",
    );
  }

  #checkResumedText(textHash: string): void {
    const { resumption } = this.#options.request;
    if (textHash === resumption?.cursor.textHash) return;
    throw createInterruptedError(
      "text of the resumed stream differs from the text delivered before",
    );
  }

  #createError(message: string, retryAfterS = RETRY_AFTER_S): RequestError {
    if (this.#isResumed) return createInterruptedError(message);
    return new RequestError(RequestErrorType.NotRun, message, retryAfterS);
  }
}
