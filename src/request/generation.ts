/**
 * One generation: the answer to one request, produced by one or more attempts
 * on backend servers that carry the same model version.
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
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
import { chooseRecovery, RecoveryStep } from "./recovery.ts";
import { isProvenHarmless, recordServerLoss } from "./suspect.ts";

/** A part of the answer, ready for the caller. */
export interface CompletionChunk {
  readonly text: string;
  /** Cursor after this part. */
  readonly cursor: string;
  readonly finishReason: FinishReason | undefined;
}

/** What a generation is made for. */
export interface GenerationOptions {
  readonly requestId: RequestId;
  readonly request: CompletionRequest;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
}

/** How reading an attempt ended. */
enum Ending {
  Whole,
  Lost,
  /** The caller has gone or the answer was refused. */
  Abandoned,
}

const REFUSED_PAUSE_MS = 50;

/** Produces the answer to one request. */
export class Generation {
  readonly #context: EntryContext;
  readonly #options: GenerationOptions;
  readonly #id: GenerationId;
  readonly #modelVersion: string;
  readonly #journal: Journal;
  /** Parts before this position are held by the caller already. */
  readonly #deliverFrom: number;
  readonly #lostServers = new Set<string>();
  #writeCursor: CursorWriter = () => "";
  #mayHaveRun: boolean;
  readonly #startMs: number;
  #losses = 0;
  #wasPreempted = false;
  #cursorAttempt: Attempt | undefined;
  #lostAtMs: number | undefined;

  private constructor(context: EntryContext, options: GenerationOptions) {
    this.#context = context;
    this.#options = options;
    this.#startMs = context.now();
    const { model, maxTokens, resumption } = options.request;
    this.#id = resumption?.cursor.generation ??
      randomUUID() as string as GenerationId;
    this.#modelVersion = resumption?.cursor.modelVersion ?? model.version;
    this.#deliverFrom = resumption?.cursor.position ?? 0;
    this.#mayHaveRun = resumption !== undefined;
    this.#journal = resumption?.text === undefined
      ? Journal.create(maxTokens)
      : Journal.restore(maxTokens, {
        text: resumption.text,
        position: resumption.cursor.position,
      });
  }

  /** Makes the generation of a request; `run` starts it. */
  static create(
    context: EntryContext,
    options: GenerationOptions,
  ): Generation {
    return new Generation(context, options);
  }

  /** Names the generation in the answer. */
  get id(): GenerationId {
    return this.#id;
  }

  /** Count of tokens in the answer so far. */
  get position(): number {
    return this.#journal.position;
  }

  /**
   * Yields the parts of the answer in order, each once.
   *
   * Errors: a `RequestError`, of type not run only if nothing can have run.
   */
  async *run(): AsyncGenerator<CompletionChunk> {
    this.#requireUnsuspected();
    let attempt = this.#reattachToCursor();
    while (!this.#journal.isFull) {
      attempt ??= await this.#start();
      let ending = Ending.Abandoned;
      try {
        this.#beginCursors(attempt);
        for await (const events of this.#read(attempt)) {
          for (const addition of this.#accept(events)) {
            const isWhole = addition.finishReason !== undefined;
            if (isWhole) ending = Ending.Whole;
            if (addition.text !== "" || isWhole) yield this.#pieceOf(addition);
            if (isWhole) return this.#proveHarmless(attempt);
            this.#requireNoGap(addition);
          }
          this.#proveByProgress(attempt);
        }
      } catch (error) {
        if (!(error instanceof AttemptError)) throw error;
        ending = Ending.Lost;
        attempt.close();
        attempt = await this.#recover(attempt, error);
      } finally {
        if (ending !== Ending.Lost) this.#leave(attempt, ending);
      }
    }
  }

  #read(attempt: Attempt): AsyncGenerator<readonly StreamEvent[]> {
    return readAttempt(this.#context, {
      attempt,
      modelVersion: this.#modelVersion,
      signal: this.#options.signal,
    });
  }

  /** Gives the place back; a stream that is not whole is cancelled. */
  #leave(attempt: Attempt | undefined, ending: Ending): void {
    if (attempt === undefined) return;
    attempt.close();
    if (ending === Ending.Whole) return;
    cancelStream(attempt.address, attempt.stream);
  }

  #requireNoGap({ gap }: JournalUpdate): void {
    if (gap !== undefined) {
      throw new AttemptError(FailureCause.PositionGap, gap);
    }
  }

  #proveByProgress(attempt: Attempt): void {
    const tokens = this.#journal.position - attempt.streamStart;
    if (isProvenHarmless(tokens)) attempt.endIsolation();
  }

  #proveHarmless(attempt: Attempt): void {
    attempt.endIsolation();
    this.#context.suspicions.clear(this.#options.request.fingerprint);
  }

  /** Takes events in; parts that the caller holds are not given out again. */
  *#accept(events: readonly StreamEvent[]): Generator<JournalUpdate> {
    const held = events.filter(({ p, end }) =>
      p < this.#deliverFrom && end === undefined
    );
    if (held.length > 0) {
      const addition = this.#journal.accept(held);
      if (addition.gap !== undefined) yield { ...addition, text: "" };
      if (addition.position === this.#deliverFrom) {
        this.#requireSameText(addition.textHash);
      }
    }
    if (held.length < events.length) {
      yield this.#journal.accept(events.slice(held.length));
    }
  }

  #pieceOf(
    { text, position, textHash, finishReason: finish }: JournalUpdate,
  ): CompletionChunk {
    if (this.#lostAtMs !== undefined) {
      const pauseMs = this.#context.now() - this.#lostAtMs;
      this.#context.metrics.resumeSeconds.observe(pauseMs / 1_000);
      this.#lostAtMs = undefined;
    }
    return {
      text,
      finishReason: finish,
      cursor: this.#writeCursor(position, textHash),
    };
  }

  #beginCursors({ server, stream, streamStart }: Attempt): void {
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

  /** Returns the attempt that reads on in the cursor's stream, if possible. */
  #reattachToCursor(): Attempt | undefined {
    const { resumption } = this.#options.request;
    if (resumption === undefined || this.#journal.isFull) return undefined;
    const place = findCursorStream(this.#context, resumption);
    if (place === undefined) return undefined;
    this.#cursorAttempt = this.#reattach(place);
    return this.#cursorAttempt;
  }

  #reattach(place: StreamLocation): Attempt {
    const from = this.#journal.position;
    return reattach(this.#context, { place, from });
  }

  /** Starts a stream on a server that has a place, in the queue's order. */
  async #start(): Promise<Attempt> {
    await this.#context.pauseDetector.ready();
    const wish: AttemptOptions = {
      ...this.#options,
      modelVersion: this.#modelVersion,
      journal: this.#journal,
      excluded: this.#lostServers,
      waitMs: this.#remainingMs(),
      isResumed: this.#mayHaveRun,
    };
    // Lost servers are tried again when no other is left.
    if (!canStart(this.#context, wish)) this.#lostServers.clear();
    if (wish.waitMs === 0) {
      throw this.#refuse("no backend server took it in time");
    }
    try {
      return await startAttempt(this.#context, wish);
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
      throw this.#refuse(error.message, error.retryAfterS);
    }
  }

  /** Time left to find a server, in ms; refused servers count against it. */
  #remainingMs(): number {
    const { now, settings } = this.#context;
    const { targetMs } = this.#options.request.rank;
    const resumeMs = this.#wasPreempted
      ? Math.max(targetMs, settings.resumeTimeoutMs)
      : settings.resumeTimeoutMs;
    const limitMs = this.#mayHaveRun ? resumeMs : targetMs;
    const sinceMs = this.#lostAtMs ?? this.#startMs;
    return Math.max(0, sinceMs + limitMs - now());
  }

  /** Decides how to go on after a loss: reattach, start anew, or refuse. */
  async #recover(
    attempt: Attempt,
    loss: AttemptError,
  ): Promise<Attempt | undefined> {
    const { failureCause: lossCause } = loss;
    if (this.#options.signal.aborted) {
      cancelStream(attempt.address, attempt.stream);
      throw this.#refuse("caller has gone");
    }
    if (lossCause === FailureCause.Preempted) return this.#yieldPlace(attempt);
    this.#wasPreempted = false;
    this.#noteLoss(attempt, loss);
    if (this.#losses > ATTEMPT_FAILURES_MAX) {
      throw this.#refuse(
        `more than ${ATTEMPT_FAILURES_MAX} attempts were lost`,
      );
    }
    const wasReattached = "stream" in attempt.source;
    if (wasReattached && this.#journal.position < this.#deliverFrom) {
      throw createInterruptedError(
        "the stream is gone; repeat without a cursor",
      );
    }
    const isSilent = this.#journal.position === attempt.streamStart;
    const isFromCursor = attempt === this.#cursorAttempt;
    const step = chooseRecovery({
      lossCause,
      wasReattached,
      isFromCursor,
      isSilent,
    });
    return await this.#take(step, attempt);
  }

  async #take(
    step: RecoveryStep,
    attempt: Attempt,
  ): Promise<Attempt | undefined> {
    switch (step) {
      case RecoveryStep.Reattach:
        return this.#reattach(attempt);
      case RecoveryStep.SuspectRequest:
        this.#blameServerLoss(attempt);
        break;
      case RecoveryStep.RetryElsewhere:
        await sleep(REFUSED_PAUSE_MS);
        break;
      case RecoveryStep.CancelStream:
        await this.#withdraw(attempt);
        break;
      case RecoveryStep.EjectServer:
        this.#abandon(attempt);
        break;
    }
    return undefined;
  }

  /** Leaves a server to more urgent work; the journal goes on later. */
  #yieldPlace(attempt: Attempt): undefined {
    this.#mayHaveRun = true;
    this.#wasPreempted = true;
    this.#lostAtMs ??= this.#context.now();
    cancelStream(attempt.address, attempt.stream);
    return undefined;
  }

  #noteLoss(attempt: Attempt, loss: AttemptError): void {
    const { log, metrics, now } = this.#context;
    if (loss.mayHaveRun) {
      this.#lostAtMs ??= now();
      this.#losses++;
    }
    const isSilent = this.#journal.position === attempt.streamStart;
    const mayBeWithdrawn = loss.failureCause === FailureCause.Stalled &&
      isSilent;
    if (loss.mayHaveRun && !mayBeWithdrawn) this.#mayHaveRun = true;
    this.#lostServers.add(attempt.server);
    metrics.attemptFailures.inc({ cause: loss.failureCause });
    log(LOG_EVENTS.attemptFailed, {
      request: this.#options.requestId,
      generation: this.#id,
      server: attempt.server,
      cause: loss.failureCause,
      detail: loss.message,
      position: this.#journal.position,
    });
  }

  /** The server no longer knows the stream: it died under this request. */
  #blameServerLoss(attempt: Attempt): void {
    this.#abandon(attempt);
    recordServerLoss(this.#context, {
      fingerprint: this.#options.request.fingerprint,
      tokens: this.#journal.position - attempt.streamStart,
    });
    this.#requireUnsuspected();
  }

  /** Takes back a stream that gave no token, and learns whether it ran. */
  async #withdraw(attempt: Attempt): Promise<void> {
    const result = await cancelStream(attempt.address, attempt.stream);
    if (result !== CancelResult.NeverRan) this.#mayHaveRun = true;
    if (result !== CancelResult.NoResponse) return;
    this.#context.serverPool.eject(attempt.server);
  }

  /** Gives a server up that can no longer be used for this generation. */
  #abandon(attempt: Attempt): void {
    this.#context.serverPool.eject(attempt.server);
    cancelStream(attempt.address, attempt.stream);
  }

  #requireUnsuspected(): void {
    const { fingerprint } = this.#options.request;
    if (!this.#context.suspicions.isRefused(fingerprint)) return;
    throw this.#refuse("this request is suspected of crashing backend servers");
  }

  #requireSameText(textHash: string): void {
    const { resumption } = this.#options.request;
    if (textHash === resumption?.cursor.textHash) return;
    throw createInterruptedError(
      "the stream holds another text than was delivered",
    );
  }

  #refuse(message: string, retryAfterS = RETRY_AFTER_S): RequestError {
    if (this.#mayHaveRun) return createInterruptedError(message);
    return new RequestError(RequestErrorType.NotRun, message, retryAfterS);
  }
}
