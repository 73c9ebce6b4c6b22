/**
 * Relays a stream of events to its caller as one unbroken answer: when a server
 * is lost, the stream goes on at another one after the last event delivered,
 * from a copy of the run's memory where there is one.
 */

import {
  type BackendAnswer,
  collectBody,
} from "../connection/backend_answer.ts";
import { EventSplitter, type WireEvent } from "../connection/event_splitter.ts";
import { AttemptLoss, LossCause, Refusal } from "../errors.ts";
import { EVENTS } from "../process/event_catalog.ts";
import type { LostZone } from "../process/choose_server.ts";
import type { LiveServer } from "../process/live_server.ts";
import { ServerLoss } from "../process/server_avoidance.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { AttemptProgress } from "./attempt_record.ts";
import { isHarmful } from "./crash_blame.ts";
import { endMs, type Order } from "./order.ts";
import { OrderAttempts } from "./order_attempts.ts";
import {
  holdLoad,
  loadOfOrder,
  placeOrder,
  unreadPrompt,
} from "./place_order.ts";
import { logAttempt, noteLoss } from "./note_attempt.ts";
import type { RunCopy } from "./run_copies.ts";
import { type OrderExchange, OrderOutcome } from "./serve_order.ts";
import { EventSpacing } from "./silence.ts";
import { type Seat, StreamSending } from "./stream_sending.ts";
import { StreamSplice } from "./stream_splice.ts";
import { streamWait } from "./stream_wait.ts";

/** How one sending ended. */
enum Ending {
  Whole,
  /** A failure of the server that was passed on. */
  Failed,
  Lost,
}

const MS_PER_S = 1_000;
const SUCCESS_MIN = 200;
const SUCCESS_MAX = 299;

/** Relays one stream. Errors: `Refusal`, only before the answer began. */
export function relayStream(
  context: RelayContext,
  exchange: OrderExchange,
): Promise<OrderOutcome> {
  return StreamRelay.create(context, exchange).run();
}

/** The state of one stream between its caller and its servers. */
class StreamRelay {
  readonly #context: RelayContext;
  readonly #exchange: OrderExchange;
  readonly #order: Order;
  readonly #attempts: OrderAttempts;
  readonly #lost = new Set<string>();
  /** Servers that lost an answer and got the stream once more. */
  readonly #returned = new Set<string>();
  readonly #splice: StreamSplice;
  #hasBegun = false;
  #lostAtMs: number | undefined;
  /** Where the last sending was lost, unless its server was sound. */
  #lostZone: LostZone | undefined;
  /** Copy of the run as the last sending left it. */
  #copy: RunCopy | undefined;
  #isTimeUp = false;
  #reason = "no backend server took it in time";

  private constructor(context: RelayContext, exchange: OrderExchange) {
    this.#context = context;
    this.#exchange = exchange;
    this.#order = exchange.order;
    this.#attempts = OrderAttempts.create(exchange.order);
    const { isResumable, resumeAfter } = exchange.order;
    // Elsewhere a server need not go on where the caller asks it to.
    this.#splice = StreamSplice.create(isResumable ? resumeAfter : undefined);
  }

  static create(context: RelayContext, exchange: OrderExchange): StreamRelay {
    return new StreamRelay(context, exchange);
  }

  async run(): Promise<OrderOutcome> {
    const release = this.#context.prompts.hold(this.#order.prompt);
    try {
      return await this.#runHeld();
    } finally {
      release();
    }
  }

  async #runHeld(): Promise<OrderOutcome> {
    const { caller } = this.#exchange;
    while (!caller.signal.aborted && this.#maySend()) {
      const seat = this.#seatOnCopy() ?? await this.#seat();
      if (seat === undefined) break;
      const ending = await this.#sendOnce(seat);
      if (ending === Ending.Whole) return OrderOutcome.Answered;
      if (ending === Ending.Failed) return OrderOutcome.ServerFailed;
    }
    if (caller.signal.aborted) return OrderOutcome.CallerGone;
    return this.#giveUp();
  }

  /** Ends the answer truthfully: a refusal, or a break that can't look whole. */
  #giveUp(): OrderOutcome {
    if (!this.#hasBegun) {
      throw this.#attempts.refusal(this.#reason, this.#context.now());
    }
    this.#context.log(EVENTS.generationInterrupted, {
      request: this.#order.id,
      after: this.#splice.lastId ?? "",
      reason: this.#reason,
      sendings: this.#attempts.count,
    });
    this.#exchange.caller.breakOff();
    return OrderOutcome.BrokenOff;
  }

  #maySend(): boolean {
    if (this.#isTimeUp || endMs(this.#order) <= this.#context.now()) {
      this.#reason = "time limit reached";
      return false;
    }
    if (this.#attempts.count === 0) return true;
    if (!this.#attempts.maySendAgain) return false;
    if (isHarmful(this.#context, this.#order)) return false;
    return this.#context.budget.takeRetry(this.#order.service);
  }

  /** Goes on at the server that holds a copy, whatever its load. */
  #seatOnCopy(): Seat | undefined {
    const copy = this.#copy;
    this.#copy = undefined;
    if (copy === undefined) return undefined;
    const { server } = copy;
    if (!this.#context.servers.isUsable(server.name)) return undefined;
    const load = loadOfOrder(this.#order);
    const close = holdLoad(this.#context, { name: server.name, load });
    return { server, copy, close, endReading: () => undefined };
  }

  /** Waits for a place; `undefined` when there is none in time. */
  async #seat(): Promise<Seat | undefined> {
    const { now, prompts } = this.#context;
    const order = this.#order;
    if (!this.#hasServer()) this.#lost.clear();
    const load = unreadPrompt(order);
    let endReading = () => {};
    try {
      const place = await placeOrder(this.#context, order, {
        ...streamWait(order, { hasBegun: this.#hasBegun, nowMs: now() }),
        excluded: this.#lost,
        signal: this.#exchange.caller.signal,
        isResumed: this.#hasBegun,
        ...(this.#lostZone === undefined ? {} : { lostZone: this.#lostZone }),
        preferred: prompts.find(order.prompt),
        onPlaced: (name) => {
          endReading = holdLoad(this.#context, { name, load });
        },
      });
      const server = place.server as LiveServer;
      return { server, close: place.close, endReading };
    } catch (error) {
      if (!(error instanceof Refusal)) throw error;
      this.#reason = error.message;
      return undefined;
    }
  }

  /** Whether any server that did not lose the stream could take it. */
  #hasServer(): boolean {
    const { service, memoryTokens } = this.#order;
    return this.#context.servers.canServe({
      service,
      tokens: memoryTokens,
      excluded: this.#lost,
    });
  }

  async #sendOnce(seat: Seat): Promise<Ending> {
    const { caller } = this.#exchange;
    this.#splice.beginPart();
    const sending = StreamSending.create({
      context: this.#context,
      order: this.#order,
      seat,
      entry: this.#attempts.add(seat.server.name),
      excluded: this.#lost,
      events: () => this.#splice.events,
    });
    this.#log(sending);
    try {
      const answer = await this.#open(sending);
      if (answer.hasNotRun) {
        this.#noteNotRun(sending, answer);
        return Ending.Lost;
      }
      sending.entry.progress = AttemptProgress.KnownRun;
      this.#context.prompts.note(this.#order.prompt, seat.server.name);
      return await this.#take(answer, sending);
    } catch (error) {
      if (!(error instanceof AttemptLoss)) throw error;
      if (!caller.signal.aborted) await this.#noteLoss(sending, error);
      return Ending.Lost;
    } finally {
      sending.close(this.#copy === undefined);
    }
  }

  #log({ seat, copies }: StreamSending): void {
    const { prompt } = this.#order;
    logAttempt(this.#context, {
      order: this.#order,
      server: seat.server,
      details: {
        from_copy: seat.copy !== undefined,
        after: this.#splice.lastId ?? "",
        backup: copies.asked?.name ?? "",
        prompt,
        read_at: this.#context.prompts.find(prompt) ?? "",
      },
    });
  }

  #open(
    { seat, copies, entry, signal }: StreamSending,
  ): Promise<BackendAnswer> {
    const { caller, open } = this.#exchange;
    return open({
      server: seat.server,
      leftMs: endMs(this.#order) - this.#context.now(),
      resumeAfter: this.#splice.lastId ?? this.#order.resumeAfter,
      copy: seat.copy,
      backup: copies.asked,
      signal: AbortSignal.any([caller.signal, signal]),
      onSent: () => entry.progress = AttemptProgress.Sent,
    });
  }

  #noteNotRun(
    { seat, entry }: StreamSending,
    { isReplaced }: BackendAnswer,
  ): void {
    const { servers } = this.#context;
    const { server, copy } = seat;
    entry.progress = AttemptProgress.KnownNotRun;
    // A server without the copy is sound; the order starts anew.
    if (isReplaced) servers.lose(server.name, ServerLoss.Replaced);
    else if (copy === undefined) servers.noteFull(server.name);
  }

  async #noteLoss(sending: StreamSending, error: AttemptLoss): Promise<void> {
    const { seat, entry, copies } = sending;
    const { server } = seat;
    this.#copy = copies.copy;
    this.#reason = error.message;
    this.#isTimeUp = error.lossCause === LossCause.TimeUp;
    const isAlive = error.lossCause === LossCause.Stalled ||
      error.lossCause === LossCause.Refused;
    this.#lostZone = isAlive
      ? undefined
      : { zone: server.zone, atMs: this.#context.now() };
    this.#lost.add(server.name);
    if (this.#hasBegun) this.#lostAtMs ??= this.#context.now();
    const loss = { order: this.#order, entry, server, error };
    const provesSound = noteLoss(this.#context, loss);
    if (this.#copy !== undefined || !sending.mayHaveRead) return;
    if (!this.#attempts.maySendAgain) return;
    if (await provesSound) this.#returnTo(server);
  }

  /** Lets the stream go once more to a server that lives and has read its prompt. */
  #returnTo({ name }: LiveServer): void {
    if (this.#returned.has(name)) return;
    this.#returned.add(name);
    this.#lost.delete(name);
    this.#lostZone = undefined;
    this.#context.prompts.note(this.#order.prompt, name);
  }

  async #take(
    answer: BackendAnswer,
    sending: StreamSending,
  ): Promise<Ending> {
    const { status } = answer.head;
    const isSuccess = status >= SUCCESS_MIN && status <= SUCCESS_MAX;
    if (isSuccess) return await this.#relay(answer, sending);
    const body = await collectBody(answer);
    const mayRetry = this.#attempts.maySendAgain;
    if (this.#hasBegun || mayRetry) {
      this.#lost.add(sending.seat.server.name);
      throw new AttemptLoss(LossCause.Refused, `status ${status}`);
    }
    this.#exchange.caller.answer(answer.head, body);
    return Ending.Failed;
  }

  /** Passes whole events on; what a lost server left unfinished is dropped. */
  async #relay(
    answer: BackendAnswer,
    sending: StreamSending,
  ): Promise<Ending> {
    const { seat, guard } = sending;
    const { caller } = this.#exchange;
    const { servers, now } = this.#context;
    const splitter = EventSplitter.create();
    const spacing = EventSpacing.create(now);
    for await (const bytes of answer.body()) {
      servers.hear(seat.server.name);
      const events = [...splitter.push(bytes)];
      guard.hear(spacing.next());
      if (events.length === 0) continue;
      sending.noteEvents();
      const fresh = this.#splice.accept(events);
      if (fresh.length === 0) continue;
      guard.hold();
      if (!this.#hasBegun) this.#begin(answer);
      this.#noteResumed(fresh);
      await caller.write(Buffer.concat(fresh.map((event) => event.bytes)));
      guard.resume();
    }
    if (splitter.holdsPart) {
      throw new AttemptLoss(LossCause.Closed, "stream ended inside an event");
    }
    if (!this.#hasBegun) this.#begin(answer);
    caller.end();
    return Ending.Whole;
  }

  #begin(answer: BackendAnswer): void {
    const { metrics, now } = this.#context;
    this.#hasBegun = true;
    const tookMs = now() - this.#order.receivedMs;
    this.#context.log(EVENTS.firstEvent, {
      request: this.#order.id,
      took_ms: Math.round(tookMs),
      sendings: this.#attempts.count,
    });
    metrics.firstByte.observe({ route: this.#order.route }, tookMs / MS_PER_S);
    this.#exchange.caller.begin(answer.head);
  }

  #noteResumed([first]: readonly WireEvent[]): void {
    if (this.#lostAtMs === undefined) return;
    const { metrics, log, now } = this.#context;
    const pauseMs = now() - this.#lostAtMs;
    this.#lostAtMs = undefined;
    metrics.resumeSeconds.observe(pauseMs / MS_PER_S);
    log(EVENTS.generationResumed, {
      request: this.#order.id,
      after: first?.id ?? "",
      pause_ms: Math.round(pauseMs),
    });
  }
}
