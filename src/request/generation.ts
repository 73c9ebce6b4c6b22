/**
 * One generation: the answer to one request, produced by one or more attempts
 * on backend servers that carry the same model version.
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { match, P } from "ts-pattern";
import type {
  FinishReason,
  StreamEvent,
} from "../connection/engine_protocol.ts";
import {
  CancelResult,
  cancelStream,
  readStream,
  type StreamReattach,
  type StreamStart,
} from "../connection/engine_stream.ts";
import { LOSSES_MAX, SUSPICION_PROGRESS_TOKENS } from "../constants.ts";
import { AttemptLoss, LossCause, Refusal, RefusalType } from "../errors.ts";
import type { GenerationId, RequestId, StreamId } from "../ids.ts";
import type { EntryContext } from "../process/entry_context.ts";
import { EVENTS } from "../process/event_catalog.ts";
import { type CompletionOrder, estimateCost } from "./completion_order.ts";
import { createCursorWriter, type CursorWriter } from "./cursor.ts";
import { type Addition, Journal } from "./journal.ts";

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

/** A stream on a backend server. */
interface Attempt {
  readonly server: string;
  readonly address: string;
  readonly stream: StreamId;
  readonly streamStart: number;
  readonly source: StreamStart | StreamReattach;
  /** Ends the isolation of a suspected request. */
  readonly prove: () => void;
  /** Gives the place on the server back, and ends the isolation. */
  readonly close: () => void;
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
        ending = Ending.Lost;
        if (!(error instanceof AttemptLoss)) throw error;
        attempt.close();
        attempt = await this.#recover(attempt, error);
      } finally {
        if (ending !== Ending.Lost) this.#leave(attempt, ending);
      }
    }
  }

  #read(attempt: Attempt): AsyncGenerator<readonly StreamEvent[]> {
    const { settings } = this.#context;
    this.#beginCursors(attempt);
    return readStream({
      address: attempt.address,
      modelVersion: this.#modelVersion,
      source: attempt.source,
      firstTokenStallMs: settings.firstTokenStallMs,
      firstTokenLimitMs: settings.firstTokenLimitMs,
      tokenStallMs: settings.tokenStallMs,
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
    const progress = this.#journal.position - attempt.streamStart;
    if (progress >= SUSPICION_PROGRESS_TOKENS) attempt.prove();
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
    const { cursor, text } = resumption;
    const mustRebuild = text === undefined;
    if (mustRebuild && cursor.streamStart > 0) {
      throw interrupted("send the text received as resume_text to go on");
    }
    const view = this.#context.fleet.view(cursor.server);
    if (view === undefined) {
      if (mustRebuild) throw interrupted("the backend server is gone");
      return undefined;
    }
    return this.#reattach({
      server: cursor.server,
      address: view.server.address,
      stream: cursor.stream,
      streamStart: cursor.streamStart,
    });
  }

  #reattach(
    held: Pick<Attempt, "server" | "address" | "stream" | "streamStart">,
  ): Attempt {
    const { fleet } = this.#context;
    fleet.begin(held.server);
    return {
      ...held,
      source: { stream: held.stream, from: this.#journal.position },
      prove: () => undefined,
      close: () => fleet.end(held.server),
    };
  }

  /** Starts a stream on a server that has a place, in the queue's order. */
  async #start(): Promise<Attempt> {
    const { order, signal, request } = this.#options;
    const { dispatcher, guard } = this.#context;
    await guard.ready();
    this.#allowLostServers();
    const waitMs = this.#remainingMs();
    if (waitMs === 0) throw this.#refuse("no backend server took it in time");
    try {
      const place = await dispatcher.place({
        rank: order.rank,
        customer: order.customer.name,
        weight: order.customer.weight,
        cost: estimateCost(order),
        ...this.#wish(),
        waitMs,
        signal,
        isResumed: this.#mayHaveRun,
      });
      const stream = randomUUID() as string as StreamId;
      const position = this.#journal.position;
      const prove = this.#isolate(place.server.name);
      return {
        server: place.server.name,
        address: place.server.address,
        stream,
        streamStart: position,
        source: {
          order: {
            stream,
            request,
            model: order.model.name,
            modelVersion: this.#modelVersion,
            prompt: order.prompt,
            journal: this.#journal.text,
            position,
            maxTokens: order.maxTokens,
            priority: order.rank.order,
          },
        },
        prove,
        close: () => {
          prove();
          place.close();
        },
      };
    } catch (error) {
      throw error instanceof Refusal ? this.#refuse(error.message) : error;
    }
  }

  /** Time left to find a server, in ms; refused servers count against it. */
  #remainingMs(): number {
    const { now, settings } = this.#context;
    const limitMs = this.#mayHaveRun
      ? settings.resumeLimitMs
      : this.#options.order.rank.targetMs;
    const sinceMs = this.#lostAtMs ?? this.#startMs;
    return Math.max(0, sinceMs + limitMs - now());
  }

  #wish() {
    return {
      service: this.#options.order.service.name,
      modelVersion: this.#modelVersion,
      excluded: this.#lostServers,
      preferred: "",
      isSuspect: this.#isSuspect(),
    };
  }

  #isSuspect(): boolean {
    const { suspicions } = this.#context;
    return suspicions.losses(this.#options.order.fingerprint) > 0;
  }

  /** Keeps other suspected requests away; returns what ends that. */
  #isolate(server: string): () => void {
    const { fleet } = this.#context;
    let isUnproven = this.#isSuspect();
    if (isUnproven) fleet.beginProof(server);
    return () => {
      if (isUnproven) fleet.endProof(server);
      isUnproven = false;
    };
  }

  /** Lost servers are tried again when no other is left. */
  #allowLostServers(): void {
    if (this.#context.fleet.canServe(this.#wish())) return;
    this.#lostServers.clear();
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
    this.#noteLoss(attempt, loss);
    if (this.#losses > LOSSES_MAX) {
      throw this.#refuse(`more than ${LOSSES_MAX} attempts were lost`);
    }
    const wasReattached = "stream" in attempt.source;
    if (wasReattached && this.#journal.position < this.#deliverFrom) {
      throw interrupted("the stream is gone; repeat without a cursor");
    }
    const isSilent = this.#journal.position === attempt.streamStart;
    const step = match({ lossCause, wasReattached, isSilent })
      .with({
        lossCause: P.union(LossCause.Closed, LossCause.Gap),
        wasReattached: false,
      }, () => this.#reattach(attempt))
      .with({
        lossCause: P.union(LossCause.Unreachable, LossCause.Refused),
        wasReattached: true,
      }, () => this.#noteServerLost(attempt))
      .with(
        { lossCause: P.union(LossCause.Refused, LossCause.WrongVersion) },
        () => sleep(REFUSED_PAUSE_MS),
      )
      .with(
        { lossCause: LossCause.Stalled, isSilent: true },
        () => this.#withdraw(attempt),
      )
      .otherwise(() => this.#abandon(attempt));
    return await step ?? undefined;
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
  #noteServerLost(attempt: Attempt): void {
    const { log, suspicions } = this.#context;
    const { fingerprint } = this.#options.order;
    this.#abandon(attempt);
    const progress = this.#journal.position - attempt.streamStart;
    const isNewCause = progress >= SUSPICION_PROGRESS_TOKENS;
    const losses = (isNewCause ? 0 : suspicions.losses(fingerprint)) + 1;
    suspicions.record(fingerprint, losses);
    log(EVENTS.requestSuspected, { fingerprint, losses });
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

  #refuse(message: string): Refusal {
    if (this.#mayHaveRun) return interrupted(message);
    return new Refusal(RefusalType.NotRun, message, 1);
  }
}

function interrupted(message: string): Refusal {
  return new Refusal(RefusalType.Interrupted, message);
}
