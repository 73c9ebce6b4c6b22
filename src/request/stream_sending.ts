/**
 * One sending of a stream to a server, from its first byte to its end: the
 * limits under which it is given up, the copy of its run, and the work that it
 * counts as at its server.
 */

import { READ_TOKENS_PER_MS } from "../constants.ts";
import { AttemptLoss, LossCause } from "../errors.ts";
import { addLoad, type LiveServer } from "../process/live_server.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { endMs, type Order } from "./order.ts";
import type { AttemptEntry } from "./order_attempts.ts";
import { RunCopies, type RunCopy } from "./run_copies.ts";
import {
  COPY_EVENT_CHECK_MS,
  FIRST_EVENT_CHECK_MS,
  firstEventMaxMs,
} from "./silence.ts";
import { SilenceGuard } from "./silence_guard.ts";

/** A place for one sending of a stream. */
export interface Seat {
  readonly server: LiveServer;
  /** The copy of the run that the server holds, if it does. */
  readonly copy?: RunCopy;
  /** Gives the place back. */
  readonly close: () => void;
  /** Notes that the server has no more of the prompt to read. */
  readonly endReading: () => void;
}

/** What a sending needs of its stream. */
export interface StreamSendingOptions {
  readonly context: RelayContext;
  readonly order: Order;
  readonly seat: Seat;
  readonly entry: AttemptEntry;
  /** Servers that must not keep a copy. */
  readonly excluded: ReadonlySet<string>;
  /** Events of the run received so far. */
  readonly events: () => number;
}

/** A stream at one server. */
export class StreamSending {
  readonly seat: Seat;
  readonly entry: AttemptEntry;
  readonly guard: SilenceGuard;
  readonly copies: RunCopies;
  readonly #options: StreamSendingOptions;
  readonly #startMs: number;
  readonly #stop = new AbortController();
  readonly #limit: NodeJS.Timeout;

  private constructor(options: StreamSendingOptions) {
    const { context, order, seat, entry, excluded, events } = options;
    const { server, copy } = seat;
    this.#options = options;
    this.#startMs = context.now();
    this.seat = seat;
    this.entry = entry;
    this.copies = RunCopies.create({ context, order, server, excluded });
    this.#limit = setTimeout(
      () => this.#lose(LossCause.TimeUp, "time limit reached"),
      endMs(order) - context.now(),
    );
    this.guard = SilenceGuard.create({
      reports: context.reports,
      server,
      id: order.id,
      firstLimitMs: copy === undefined
        ? FIRST_EVENT_CHECK_MS
        : COPY_EVENT_CHECK_MS,
      firstMaxMs: firstEventMaxMs(unreadTokensAt(context, server)),
      events,
      now: context.now,
      onLost: (cause, detail) => this.#lose(cause, detail),
    });
  }

  /** Begins to guard a sending. */
  static create(options: StreamSendingOptions): StreamSending {
    return new StreamSending(options);
  }

  /** Aborts with an `AttemptLoss` when the sending is given up. */
  get signal(): AbortSignal {
    return this.#stop.signal;
  }

  /** Whether the server had the time to read the prompt. */
  get mayHaveRead(): boolean {
    const { context, order } = this.#options;
    const tookMs = context.now() - this.#startMs;
    return tookMs >= order.promptTokens / READ_TOKENS_PER_MS;
  }

  /** Notes that the server made events, so it has read the prompt. */
  noteEvents(): void {
    this.seat.endReading();
    this.copies.noteEvents();
  }

  /** Ends all guards; `isOver` frees the copy of a run that nobody goes on with. */
  close(isOver: boolean): void {
    clearTimeout(this.#limit);
    this.guard.close();
    this.seat.endReading();
    this.seat.close();
    this.copies.close(isOver);
  }

  #lose(cause: LossCause, detail: string): void {
    this.#stop.abort(new AttemptLoss(cause, detail));
  }
}

/** Prompt tokens that a server has still to read, as far as is known here. */
function unreadTokensAt(
  { servers }: RelayContext,
  { name }: LiveServer,
): number {
  const view = servers.view(name);
  if (view === undefined) return 0;
  return addLoad(view.own, view.others).unreadTokens;
}
