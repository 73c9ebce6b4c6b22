/**
 * Gives each request a place on a backend server, in the order of the fair
 * queue, or refuses it as not run.
 */

import { RETRY_AFTER_S } from "../constants.ts";
import { Refusal, RefusalType } from "../errors.ts";
import type { BackendServer } from "../version/types.ts";
import { FairQueue, type Ticket } from "./fair_queue.ts";
import type { Fleet, ServerWish } from "./fleet.ts";

/** What a request asks of the dispatcher. */
export interface PlaceOrder extends Ticket, ServerWish {
  /** Longest wait for a place, in ms. */
  readonly waitMs: number;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
  /** A resumed generation is served before those that have not begun. */
  readonly isResumed: boolean;
}

/** A place on a backend server, held until `close`. */
export interface Place {
  readonly server: BackendServer;
  /** Gives the place back; further calls do nothing. */
  readonly close: () => void;
}

/** What the dispatcher needs of its process. */
export interface DispatcherOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  readonly fleet: Fleet;
  /** Requests that may wait in one rank of a service. */
  readonly queueLength: number;
}

interface Waiting extends PlaceOrder {
  readonly resolve: (place: Place) => void;
  readonly reject: (refusal: Refusal) => void;
}

/** Heads of the queue that are tried when the first finds no server. */
const CANDIDATES_TRIED = 16;

/** The waiting requests of an entry, by service. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #queues = new Map<string, FairQueue<Waiting>>();

  private constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /** Makes a dispatcher; the fleet must call `pump` when it has room. */
  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** Waits for a place. Errors: a `Refusal` of type not run. */
  place(order: PlaceOrder): Promise<Place> {
    const queue = this.#queue(queueName(order));
    const isFull = queue.lengthOf(order.rank.name) >= this.#options.queueLength;
    if (isFull && !order.isResumed) {
      return Promise.reject(refuse(`queue of rank ${order.rank.name} is full`));
    }
    return new Promise((resolve, reject) => {
      const stopWaiting = (refusal: Refusal) => {
        settle();
        queue.remove(waiting);
        reject(refusal);
      };
      const onAbort = () => stopWaiting(refuse("caller has gone"));
      const timer = setTimeout(() => {
        stopWaiting(refuse("no backend server had room in time"));
      }, order.waitMs);
      const settle = () => {
        clearTimeout(timer);
        order.signal.removeEventListener("abort", onAbort);
      };
      const waiting: Waiting = {
        ...order,
        reject,
        resolve: (place) => {
          settle();
          resolve(place);
        },
      };
      order.signal.addEventListener("abort", onAbort);
      queue.push(waiting, order.isResumed);
      if (order.signal.aborted) return onAbort();
      this.#pumpService(queue);
    });
  }

  /** Serves waiting requests while servers have room. */
  pump(): void {
    for (const queue of this.#queues.values()) this.#pumpService(queue);
  }

  /** Count of requests that wait in a rank of a service. */
  lengthOf(service: string, rank: string): number {
    return this.#queues.get(service)?.lengthOf(rank) ?? 0;
  }

  #pumpService(queue: FairQueue<Waiting>): void {
    while (this.#serveOne(queue)) continue;
  }

  #serveOne(queue: FairQueue<Waiting>): boolean {
    let tried = 0;
    for (const waiting of queue.candidates()) {
      const server = this.#options.fleet.choose(waiting);
      if (server !== undefined) {
        queue.take(waiting);
        waiting.resolve(this.#occupy(server));
        return true;
      }
      if (++tried === CANDIDATES_TRIED) return false;
    }
    return false;
  }

  #occupy(server: BackendServer): Place {
    const { fleet } = this.#options;
    let isHeld = true;
    fleet.begin(server.name);
    return {
      server,
      close: () => {
        if (isHeld) fleet.end(server.name);
        isHeld = false;
      },
    };
  }

  #queue(name: string): FairQueue<Waiting> {
    const queue = this.#queues.get(name) ??
      FairQueue.create<Waiting>(this.#options.now);
    this.#queues.set(name, queue);
    return queue;
  }
}

/** Suspected requests wait apart, so that they hold up no others. */
function queueName({ service, isSuspect }: ServerWish): string {
  return isSuspect ? `${service} suspects` : service;
}

function refuse(message: string): Refusal {
  return new Refusal(RefusalType.NotRun, message, RETRY_AFTER_S);
}
