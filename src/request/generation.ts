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
import { LOSSES_MAX, RETRY_AFTER_S } from "../constants.ts";
import {
  AttemptLoss,
  interrupted,
  LossCause,
  Refusal,
  RefusalType,
} from "../errors.ts";
import type { GenerationId, RequestId } from "../ids.ts";
import type { EntryContext } from "../process/entry_context.ts";
import { EVENTS } from "../process/event_catalog.ts";
import {
  type Attempt,
  type AttemptWish,
  canStart,
  findCursorStream,
  readAttempt,
  reattach,
  startAttempt,
  type StreamPlace,
} from "./attempt.ts";
import type { CompletionOrder } from "./completion_order.ts";
import { createCursorWriter, type CursorWriter } from "./cursor.ts";
import { type Addition, Journal } from "./journal.ts";
import { chooseRecovery, RecoveryStep } from "./recovery.ts";
import { isProven, recordServerLoss } from "./suspect.ts";

/** A part of the answer, ready for the caller. */
export interface Piece {
  readonly text: string;
  /** Cursor after this part. */
  readonly cursor: string;
  readonly finish: FinishReason | undefined;
}

/** What a generation is made for. */
export interface GenerationOptions {
  readonly request: RequestId;
  readonly order: CompletionOrder;
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
    const { model, maxTokens, resumption } = options.order;
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
   * Errors: a `Refusal`, of type not run only if nothing can have run.
   */
  async *run(): AsyncGenerator<Piece> {
    this.#requireUnsuspected();
    let attempt = this.#reattachToCursor();
    while (!this.#journal.isFull) {
      attempt ??= await this.#start();
      let ending = Ending.Abandoned;
      try {
        this.#beginCursors(attempt);
        for await (const events of this.#read(attempt)) {
          for (const addition of this.#accept(events)) {
            const isWhole = addition.finish !== undefined;
            if (isWhole) ending = Ending.Whole;
            if (addition.text !== "" || isWhole) yield this.#pieceOf(addition);
            if (isWhole) return this.#proveHarmless(attempt);
            this.#requireNoGap(addition);
          }
          this.#proveByProgress(attempt);
        }
      } catch (error) {
        if (!(error instanceof AttemptLoss)) throw error;
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

  #requireNoGap({ gap }: Addition): void {
    if (gap !== undefined) throw new AttemptLoss(LossCause.Gap, gap);
  }

  #proveByProgress(attempt: Attempt): void {
    const tokens = this.#journal.position - attempt.streamStart;
    if (isProven(tokens)) attempt.prove();
  }

  #proveHarmless(attempt: Attempt): void {
    attempt.prove();
    this.#context.suspicions.clear(this.#options.order.fingerprint);
  }

  /** Takes events in; parts that the caller holds are not given out again. */
  *#accept(events: readonly StreamEvent[]): Generator<Addition> {
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

  #pieceOf({ text, position, textHash, finish }: Addition): Piece {
    if (this.#lostAtMs !== undefined) {
      const pauseMs = this.#context.now() - this.#lostAtMs;
      this.#context.metrics.resumeSeconds.observe(pauseMs / 1_000);
      this.#lostAtMs = undefined;
    }
    return { text, finish, cursor: this.#writeCursor(position, textHash) };
  }

  #beginCursors({ server, stream, streamStart }: Attempt): void {
    const { customer, fingerprint } = this.#options.order;
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
    const { resumption } = this.#options.order;
    if (resumption === undefined || this.#journal.isFull) return undefined;
    const place = findCursorStream(this.#context, resumption);
    if (place === undefined) return undefined;
    this.#cursorAttempt = this.#reattach(place);
    return this.#cursorAttempt;
  }

  #reattach(place: StreamPlace): Attempt {
    const from = this.#journal.position;
    return reattach(this.#context, { place, from });
  }

  /** Starts a stream on a server that has a place, in the queue's order. */
  async #start(): Promise<Attempt> {
    await this.#context.guard.ready();
    const wish: AttemptWish = {
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
      if (!(error instanceof Refusal)) throw error;
      throw this.#refuse(error.message, error.retryAfterS);
    }
  }

  /** Time left to find a server, in ms; refused servers count against it. */
  #remainingMs(): number {
    const { now, settings } = this.#context;
    const { targetMs } = this.#options.order.rank;
    const resumeMs = this.#wasPreempted
      ? Math.max(targetMs, settings.resumeLimitMs)
      : settings.resumeLimitMs;
    const limitMs = this.#mayHaveRun ? resumeMs : targetMs;
    const sinceMs = this.#lostAtMs ?? this.#startMs;
    return Math.max(0, sinceMs + limitMs - now());
  }

  /** Decides how to go on after a loss: reattach, start anew, or refuse. */
  async #recover(
    attempt: Attempt,
    loss: AttemptLoss,
  ): Promise<Attempt | undefined> {
    const { lossCause } = loss;
    if (this.#options.signal.aborted) {
      cancelStream(attempt.address, attempt.stream);
      throw this.#refuse("caller has gone");
    }
    if (lossCause === LossCause.Preempted) return this.#yieldPlace(attempt);
    this.#wasPreempted = false;
    this.#noteLoss(attempt, loss);
    if (this.#losses > LOSSES_MAX) {
      throw this.#refuse(`more than ${LOSSES_MAX} attempts were lost`);
    }
    const wasReattached = "stream" in attempt.source;
    if (wasReattached && this.#journal.position < this.#deliverFrom) {
      throw interrupted("the stream is gone; repeat without a cursor");
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
      case RecoveryStep.BlameServerLoss:
        this.#blameServerLoss(attempt);
        break;
      case RecoveryStep.TryElsewhere:
        await sleep(REFUSED_PAUSE_MS);
        break;
      case RecoveryStep.Withdraw:
        await this.#withdraw(attempt);
        break;
      case RecoveryStep.Abandon:
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

  #noteLoss(attempt: Attempt, loss: AttemptLoss): void {
    const { log, metrics, now } = this.#context;
    if (loss.mayHaveRun) {
      this.#lostAtMs ??= now();
      this.#losses++;
    }
    const isSilent = this.#journal.position === attempt.streamStart;
    const mayBeWithdrawn = loss.lossCause === LossCause.Stalled && isSilent;
    if (loss.mayHaveRun && !mayBeWithdrawn) this.#mayHaveRun = true;
    this.#lostServers.add(attempt.server);
    metrics.losses.inc({ cause: loss.lossCause });
    log(EVENTS.attemptLost, {
      request: this.#options.request,
      generation: this.#id,
      server: attempt.server,
      cause: loss.lossCause,
      detail: loss.message,
      position: this.#journal.position,
    });
  }

  /** The server no longer knows the stream: it died under this request. */
  #blameServerLoss(attempt: Attempt): void {
    this.#abandon(attempt);
    recordServerLoss(this.#context, {
      fingerprint: this.#options.order.fingerprint,
      tokens: this.#journal.position - attempt.streamStart,
    });
    this.#requireUnsuspected();
  }

  /** Takes back a stream that gave no token, and learns whether it ran. */
  async #withdraw(attempt: Attempt): Promise<void> {
    const result = await cancelStream(attempt.address, attempt.stream);
    if (result !== CancelResult.NeverRan) this.#mayHaveRun = true;
    if (result !== CancelResult.Unanswered) return;
    this.#context.fleet.eject(attempt.server);
  }

  /** Gives a server up that can no longer be used for this generation. */
  #abandon(attempt: Attempt): void {
    this.#context.fleet.eject(attempt.server);
    cancelStream(attempt.address, attempt.stream);
  }

  #requireUnsuspected(): void {
    const { fingerprint } = this.#options.order;
    if (!this.#context.suspicions.isRefused(fingerprint)) return;
    throw this.#refuse("this request is suspected of crashing backend servers");
  }

  #requireSameText(textHash: string): void {
    const { resumption } = this.#options.order;
    if (textHash === resumption?.cursor.textHash) return;
    throw interrupted("the stream holds another text than was delivered");
  }

  #refuse(message: string, retryAfterS = RETRY_AFTER_S): Refusal {
    if (this.#mayHaveRun) return interrupted(message);
    return new Refusal(RefusalType.NotRun, message, retryAfterS);
  }
}
