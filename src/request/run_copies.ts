/**
 * Keeps a copy of a stream's run at another server, for as long as the stream
 * lasts: the server that was asked to keep it from the start, and another one
 * as soon as that is lost.
 */

import { messageOf } from "../errors.ts";
import { EVENTS } from "../process/event_catalog.ts";
import type { LiveServer, ServerLoad } from "../process/live_server.ts";
import type { RelayContext } from "../process/relay_context.ts";
import { chooseBackup } from "./choose_backup.ts";
import type { Order } from "./order.ts";
import { holdLoad, loadOfOrder } from "./place_order.ts";

/** A copy of a run's memory, from which the run can go on. */
export interface RunCopy {
  /** Server that holds the copy. */
  readonly server: LiveServer;
  /** Name of a copy made later, with the server that made it. */
  readonly made?: { readonly source: LiveServer; readonly handle: string };
}

/** A run whose memory is to be copied. */
export interface CopyWish {
  /** Request id of the run. */
  readonly id: string;
  readonly source: LiveServer;
  readonly target: LiveServer;
}

/** Copies a run's memory as it is now; resolves with its handle. Errors: rejects. */
export type RunCopier = (wish: CopyWish) => Promise<string>;

/** Frees a copy that is no longer needed. Errors: rejects. */
export type CopyReleaser = (
  copy: { readonly source: LiveServer; readonly handle: string },
) => Promise<void>;

/** What a keeper needs of its stream. */
export interface RunCopiesOptions {
  readonly context: RelayContext;
  readonly order: Order;
  /** Server that runs the order. */
  readonly server: LiveServer;
  /** Names of servers that must not hold a copy. */
  readonly excluded: ReadonlySet<string>;
}

/** How often a copy is looked after, in ms. */
const CHECK_MS = 300;
/** A copy made later is brought up to date so often, in ms; servers keep it for 4 s. */
const REFRESH_MS = 1_200;
/** Failures after which no further copy is made. */
const FAILURES_MAX = 2;

/** Looks after the copy of one sending. */
export class RunCopies {
  readonly #options: RunCopiesOptions;
  /** Server that the run's own server was asked to copy it to. */
  readonly asked: LiveServer | undefined;
  readonly #timer: NodeJS.Timeout;
  #copy: RunCopy | undefined;
  #release: () => void = () => undefined;
  #madeMs = 0;
  #failures = 0;
  #hasEvents = false;
  #isCopying = false;
  #closed = false;

  private constructor(options: RunCopiesOptions) {
    this.#options = options;
    this.asked = this.#choose();
    if (this.asked !== undefined) this.#keepAt({ server: this.asked }, 0);
    this.#timer = setInterval(() => this.#check(), CHECK_MS);
  }

  /** Chooses a server for the copy and begins to look after it. */
  static create(options: RunCopiesOptions): RunCopies {
    return new RunCopies(options);
  }

  /** Notes that the run has made events; before that there is nothing to copy. */
  noteEvents(): void {
    this.#hasEvents = true;
  }

  /** The copy to go on from when the run's server is lost, if there is one. */
  get copy(): RunCopy | undefined {
    return this.#hasEvents ? this.#copy : undefined;
  }

  /** Stops looking after the copy; `isOver` frees one that nobody will use. */
  close(isOver: boolean): void {
    this.#closed = true;
    clearInterval(this.#timer);
    this.#release();
    const made = this.#copy?.made;
    if (isOver && made !== undefined) this.#free(made);
  }

  #choose(): LiveServer | undefined {
    const { context, order, server, excluded } = this.#options;
    const { isResumable, service } = order;
    if (!isResumable || !context.canBackUp(service)) return undefined;
    return chooseBackup(context.servers, { order, server, excluded });
  }

  /** Counts the memory at the server that holds the copy, and slots it takes. */
  #keepAt(copy: RunCopy, requests: number): void {
    this.#release();
    const { context, order } = this.#options;
    const load: ServerLoad = { ...loadOfOrder(order), requests };
    this.#release = holdLoad(context, { name: copy.server.name, load });
    this.#copy = copy;
  }

  async #check(): Promise<void> {
    if (!this.#hasEvents || this.#isCopying) return;
    if (this.#failures >= FAILURES_MAX) return;
    const { context } = this.#options;
    const held = this.#copy;
    const isKept = held !== undefined &&
      context.servers.isKeeping(held.server.name);
    const isFresh = held?.made === undefined ||
      context.now() - this.#madeMs < REFRESH_MS;
    if (isKept && isFresh) return;
    const target = isKept ? held.server : this.#choose();
    if (target === undefined) return;
    this.#isCopying = true;
    await this.#make(target);
    this.#isCopying = false;
  }

  async #make(target: LiveServer): Promise<void> {
    const { context, order, server: source } = this.#options;
    const line = {
      request: order.id,
      server: source.name,
      target: target.name,
    };
    try {
      const handle = await context.copyRun({ id: order.id, source, target });
      if (this.#closed) return this.#free({ source, handle });
      this.#madeMs = context.now();
      this.#keepAt({ server: target, made: { source, handle } }, 1);
      context.log(EVENTS.copyMade, line);
    } catch (error) {
      this.#failures++;
      context.log(EVENTS.copyFailed, { ...line, reason: messageOf(error) });
    }
  }

  async #free(
    made: { readonly source: LiveServer; readonly handle: string },
  ): Promise<void> {
    const { context, order } = this.#options;
    try {
      await context.freeCopy(made);
    } catch (error) {
      // The servers drop it themselves after some seconds.
      context.log(EVENTS.copyFailed, {
        request: order.id,
        server: made.source.name,
        reason: messageOf(error),
      });
    }
  }
}
