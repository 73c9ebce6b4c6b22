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
import type { LiveServer, ServerLoad } from "../process/live_server.ts";
import { ServerLoss } from "../process/live_servers.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { AttemptProgress } from "./attempt_record.ts";
import { chooseBackup } from "./choose_backup.ts";
import { isHarmful } from "./crash_blame.ts";
import { endMs, type Order } from "./order.ts";
import { type AttemptEntry, OrderAttempts } from "./order_attempts.ts";
import { loadOfOrder, placeOrder, unreadPrompt } from "./place_order.ts";
import { logAttempt, noteLoss } from "./note_attempt.ts";
import { type OrderExchange, OrderOutcome } from "./serve_order.ts";
import {
  COPY_EVENT_CHECK_MS,
  EventSpacing,
  FIRST_EVENT_CHECK_MS,
} from "./silence.ts";
import { SilenceGuard } from "./silence_guard.ts";

/** A place for one sending of the stream. */
interface Seat {
  readonly server: LiveServer;
  /** Whether the server holds a copy of the run. */
  readonly fromCopy: boolean;
  readonly close: () => void;
}

/** How one sending ended. */
enum Ending {
  Whole,
  /** A failure of the server that was passed on. */
  Failed,
  Lost,
}

/** Part of the time to the target that a stream waits for a place. */
const WAIT_PART = 0.6;
/** Part of the target time in which it rather waits than lines up behind others. */
const PATIENCE_PART = 0.3;
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
  #lastId: string | undefined;
  /** Events of the run that reached us from the present server. */
  #events = 0;
  #hasBegun = false;
  #lostAtMs: number | undefined;
  /** Server that holds a copy of the run as the last sending left it. */
  #copyAt: LiveServer | undefined;
  /** Says that the present server has read the prompt. */
  #endReading: () => void = () => undefined;
  #reason = "no backend server took it in time";

  private constructor(context: RelayContext, exchange: OrderExchange) {
    this.#context = context;
    this.#exchange = exchange;
    this.#order = exchange.order;
    this.#attempts = OrderAttempts.create(exchange.order);
    this.#lastId = exchange.order.resumeAfter;
  }

  static create(context: RelayContext, exchange: OrderExchange): StreamRelay {
    return new StreamRelay(context, exchange);
  }

  async run(): Promise<OrderOutcome> {
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
      after: this.#lastId ?? "",
      reason: this.#reason,
      sendings: this.#attempts.count,
    });
    this.#exchange.caller.breakOff();
    return OrderOutcome.BrokenOff;
  }

  #maySend(): boolean {
    if (endMs(this.#order) <= this.#context.now()) {
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
    const server = this.#copyAt;
    this.#copyAt = undefined;
    if (server === undefined) return undefined;
    if (!this.#context.servers.isUsable(server.name)) return undefined;
    const close = this.#hold(server, loadOfOrder(this.#order));
    return { server, fromCopy: true, close };
  }

  /** Waits for a place; `undefined` when there is none in time. */
  async #seat(): Promise<Seat | undefined> {
    const { now, servers } = this.#context;
    const { signal } = this.#exchange.caller;
    const waitMs = this.#hasBegun
      ? endMs(this.#order) - now()
      : this.#order.receivedMs + this.#order.rank.targetMs * WAIT_PART - now();
    const wait = {
      excluded: this.#lost,
      waitMs: Math.max(0, waitMs),
      signal,
      isResumed: this.#hasBegun,
      preferred: this.#context.prompts.find(this.#order.prompt),
      patientUntilMs: this.#hasBegun
        ? 0
        : this.#order.receivedMs + this.#order.rank.targetMs * PATIENCE_PART,
    };
    const request = {
      service: this.#order.service,
      tokens: this.#order.memoryTokens,
      excluded: this.#lost,
    };
    // Lost servers are tried again when no other is left.
    if (!servers.canServe(request)) this.#lost.clear();
    try {
      const place = await placeOrder(this.#context, this.#order, wait);
      return {
        server: place.server as LiveServer,
        fromCopy: false,
        close: place.close,
      };
    } catch (error) {
      if (!(error instanceof Refusal)) throw error;
      this.#reason = error.message;
      return undefined;
    }
  }

  /** Counts work at a server until the returned function is called. */
  #hold(server: LiveServer, load: ServerLoad): () => void {
    const { servers } = this.#context;
    servers.begin(server.name, load);
    let isHeld = true;
    return () => {
      if (isHeld) servers.end(server.name, load);
      isHeld = false;
    };
  }

  async #sendOnce(seat: Seat): Promise<Ending> {
    const { server, fromCopy } = seat;
    const { now, servers } = this.#context;
    const { caller, open } = this.#exchange;
    const entry = this.#attempts.add(server.name);
    const backup = this.#chooseBackup(server);
    logAttempt(this.#context, {
      order: this.#order,
      server,
      details: {
        from_copy: fromCopy,
        after: this.#lastId ?? "",
        backup: backup?.name ?? "",
      },
    });
    const releaseBackup = backup === undefined
      ? undefined
      : this.#hold(backup, { ...loadOfOrder(this.#order), requests: 0 });
    this.#endReading = fromCopy
      ? () => undefined
      : this.#hold(server, unreadPrompt(this.#order));
    const stop = new AbortController();
    const lose = (cause: LossCause, detail: string) => {
      stop.abort(new AttemptLoss(cause, detail));
    };
    const leftMs = endMs(this.#order) - now();
    const limit = setTimeout(
      () => lose(LossCause.Stalled, "time limit reached"),
      leftMs,
    );
    const guard = SilenceGuard.create({
      reports: this.#context.reports,
      server,
      id: this.#order.id,
      firstLimitMs: fromCopy ? COPY_EVENT_CHECK_MS : FIRST_EVENT_CHECK_MS,
      events: () => this.#events,
      onLost: lose,
    });
    this.#events = 0;
    try {
      const answer = await open({
        server,
        leftMs,
        resumeAfter: this.#lastId,
        fromCopy,
        backup,
        signal: AbortSignal.any([caller.signal, stop.signal]),
        onSent: () => entry.progress = AttemptProgress.Sent,
      });
      if (answer.hasNotRun) {
        entry.progress = AttemptProgress.KnownNotRun;
        // A server without the copy is sound; the order starts anew.
        if (answer.isReplaced) servers.lose(server.name, ServerLoss.Replaced);
        else if (!fromCopy) servers.lose(server.name, ServerLoss.Full);
        return Ending.Lost;
      }
      entry.progress = AttemptProgress.KnownRun;
      this.#context.prompts.note(this.#order.prompt, server.name);
      return await this.#take(answer, { seat, guard });
    } catch (error) {
      if (!(error instanceof AttemptLoss)) throw error;
      if (!caller.signal.aborted) {
        this.#noteLoss({ entry, server, error });
        // A run has no copy before its first event.
        this.#copyAt = this.#events > 0 ? backup : undefined;
      }
      return Ending.Lost;
    } finally {
      clearTimeout(limit);
      guard.close();
      this.#endReading();
      seat.close();
      releaseBackup?.();
    }
  }

  #noteLoss(
    loss: {
      readonly entry: AttemptEntry;
      readonly server: LiveServer;
      readonly error: AttemptLoss;
    },
  ): void {
    this.#reason = loss.error.message;
    this.#lost.add(loss.server.name);
    if (this.#hasBegun) this.#lostAtMs ??= this.#context.now();
    noteLoss(this.#context, { order: this.#order, ...loss });
  }

  async #take(
    answer: BackendAnswer,
    { seat, guard }: { readonly seat: Seat; readonly guard: SilenceGuard },
  ): Promise<Ending> {
    const { status } = answer.head;
    const isSuccess = status >= SUCCESS_MIN && status <= SUCCESS_MAX;
    if (isSuccess) return await this.#relay(answer, { seat, guard });
    const body = await collectBody(answer);
    const mayRetry = this.#attempts.maySendAgain;
    if (this.#hasBegun || mayRetry) {
      this.#lost.add(seat.server.name);
      throw new AttemptLoss(LossCause.Refused, `status ${status}`);
    }
    this.#exchange.caller.answer(answer.head, body);
    return Ending.Failed;
  }

  /** Passes whole events on; what a lost server left unfinished is dropped. */
  async #relay(
    answer: BackendAnswer,
    { seat, guard }: { readonly seat: Seat; readonly guard: SilenceGuard },
  ): Promise<Ending> {
    const { caller } = this.#exchange;
    const { servers, now } = this.#context;
    const splitter = EventSplitter.create();
    const spacing = EventSpacing.create(now);
    for await (const bytes of answer.body()) {
      servers.hear(seat.server.name);
      const events = [...splitter.push(bytes)];
      guard.hear(spacing.next());
      if (events.length === 0) continue;
      this.#endReading();
      guard.hold();
      if (!this.#hasBegun) this.#begin(answer);
      await caller.write(this.#accept(events));
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
    metrics.firstByte.observe({ route: this.#order.route }, tookMs / 1_000);
    this.#exchange.caller.begin(answer.head);
  }

  #accept(events: readonly WireEvent[]): Buffer {
    const last = events.findLast(({ id }) => id !== undefined);
    this.#lastId = last?.id ?? this.#lastId;
    // Ids count the events of a run from 1, across the servers it ran on.
    this.#events = Number(this.#lastId) || events.length;
    if (this.#lostAtMs !== undefined) {
      const pauseMs = this.#context.now() - this.#lostAtMs;
      this.#context.metrics.resumeSeconds.observe(pauseMs / 1_000);
      this.#context.log(EVENTS.generationResumed, {
        request: this.#order.id,
        after: events[0]?.id ?? "",
        pause_ms: Math.round(pauseMs),
      });
      this.#lostAtMs = undefined;
    }
    return Buffer.concat(events.map(({ bytes }) => bytes));
  }

  #chooseBackup(server: LiveServer): LiveServer | undefined {
    const { canBackUp } = this.#context;
    const { service, isResumable } = this.#order;
    if (!isResumable || !canBackUp(service)) return undefined;
    return chooseBackup(this.#context.servers, {
      order: this.#order,
      server,
      excluded: this.#lost,
    });
  }
}
