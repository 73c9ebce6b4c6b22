/**
 * Gives each request a place on a backend server, in the order of the fair
 * queue, or refuses it as not run.
 */

import { RETRY_AFTER_S } from "../constants.ts";
import { Refusal, RefusalType } from "../errors.ts";
import type { BackendServer } from "../version/types.ts";
import { EVENTS } from "./event_catalog.ts";
import { FairQueue, type Ticket } from "./fair_queue.ts";
import type { Fleet, ServerWish } from "./fleet.ts";
import type { Log } from "./log.ts";
import type { Policy } from "./settings.ts";

/** What a request asks of the dispatcher. */
export interface PlaceOrder extends Ticket, ServerWish {
  /** Longest wait for a place, in ms. */
  readonly waitMs: number;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
  /** A resumed generation is served before those that have not begun. */
  readonly isResumed: boolean;
  /** Takes the place back for more urgent work; absent where that can't be. */
  readonly onPreempt?: () => void;
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
  readonly policy: Policy;
  readonly log: Log;
}

/** A request that holds a place. */
interface Running {
  readonly order: Waiting;
  readonly server: BackendServer;
  isPreempted: boolean;
}

/** The waiting and running requests of one service. */
interface ServiceQueue {
  readonly waiting: FairQueue<Waiting>;
  /** In the order in which they got their places. */
  readonly running: Set<Running>;
}

interface Waiting extends PlaceOrder {
  readonly resolve: (place: Place) => void;
}

/** Heads of the queue that are tried when the first finds no server. */
const CANDIDATES_TRIED = 16;
/** Shorter queues are not judged by their estimated wait. */
const ESTIMATE_MIN_LENGTH = 8;

/** The waiting requests of an entry, by service. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #queues = new Map<string, ServiceQueue>();

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
    const refusal = this.#refuseEarly(queue, order);
    if (refusal !== undefined) return Promise.reject(refusal);
    return new Promise((resolve, reject) => {
      const stopWaiting = (refusal: Refusal) => {
        settle();
        queue.waiting.remove(waiting);
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
        resolve: (place) => {
          settle();
          resolve(place);
        },
      };
      order.signal.addEventListener("abort", onAbort);
      queue.waiting.push(waiting, order.isResumed);
      if (order.signal.aborted) return onAbort();
      this.#pumpService(queue);
    });
  }

  /** Serves waiting requests while servers have room. */
  pump(): void {
    for (const queue of this.#queues.values()) this.#pumpService(queue);
  }

  /** Refuses what can't wait, or would wait in vain. */
  #refuseEarly(
    { waiting }: ServiceQueue,
    order: PlaceOrder,
  ): Refusal | undefined {
    const { rank, waitMs, isResumed } = order;
    if (isResumed) return undefined;
    const { queueLength, policy } = this.#options;
    const length = waiting.lengthOf(rank.name);
    if (length >= queueLength) {
      return refuse(`queue of rank ${rank.name} is full`);
    }
    if (!policy.refusesEarly || length < ESTIMATE_MIN_LENGTH) return undefined;
    const excessMs = waiting.estimateWaitMs(order) - waitMs;
    if (excessMs <= 0) return undefined;
    const retryAfterS = Math.ceil(excessMs / 1_000);
    return refuse(`rank ${rank.name} can't be served in time`, retryAfterS);
  }

  #pumpService(queue: ServiceQueue): void {
    while (this.#serveOne(queue)) continue;
    if (this.#options.policy.preempts) this.#preemptOne(queue);
  }

  #serveOne(queue: ServiceQueue): boolean {
    let tried = 0;
    for (const waiting of queue.waiting.candidates()) {
      const server = this.#options.fleet.choose(waiting);
      if (server !== undefined) {
        queue.waiting.take(waiting);
        waiting.resolve(this.#occupy(queue, { order: waiting, server }));
        return true;
      }
      if (++tried === CANDIDATES_TRIED) return false;
    }
    return false;
  }

  /** Asks one running request to give its place to the first that waits. */
  #preemptOne({ waiting, running }: ServiceQueue): void {
    const [first] = waiting.candidates();
    if (first === undefined) return;
    const asked = [...running].filter(({ isPreempted }) => isPreempted);
    if (asked.length >= waiting.lengthOf(first.rank.name)) return;
    const victim = [...running]
      .filter((candidate) => mayTakeBack(candidate, first))
      .filter(({ order }) => {
        if (order.rank.order > first.rank.order) {
          return waiting.canSpare(order.rank);
        }
        return order.rank.order === first.rank.order &&
          isOverShare(running, { order, first });
      })
      .sort((a, b) => a.order.rank.order - b.order.rank.order)
      .at(-1);
    if (victim === undefined) return;
    victim.isPreempted = true;
    this.#options.log(EVENTS.generationPreempted, {
      server: victim.server.name,
      rank: victim.order.rank.name,
      for: first.rank.name,
    });
    victim.order.onPreempt?.();
  }

  #occupy(
    queue: ServiceQueue,
    { order, server }: {
      readonly order: Waiting;
      readonly server: BackendServer;
    },
  ): Place {
    const { fleet } = this.#options;
    const running: Running = { order, server, isPreempted: false };
    queue.running.add(running);
    fleet.begin(server.name);
    return {
      server,
      close: () => {
        if (!queue.running.delete(running)) return;
        queue.waiting.release(order);
        fleet.end(server.name);
      },
    };
  }

  #queue(name: string): ServiceQueue {
    const { now, policy } = this.#options;
    const queue = this.#queues.get(name) ?? {
      waiting: FairQueue.create<Waiting>({ now, order: policy.queueOrder }),
      running: new Set<Running>(),
    };
    this.#queues.set(name, queue);
    return queue;
  }
}

function mayTakeBack(
  { order, server, isPreempted }: Running,
  first: Waiting,
): boolean {
  return !isPreempted && order.onPreempt !== undefined &&
    !first.excluded.has(server.name);
}

/**
 * Whether a customer runs more than its share beside one of its rank that waits
 * and runs nothing: with one place less it still runs more by weight.
 */
function isOverShare(
  running: ReadonlySet<Running>,
  { order, first }: { readonly order: Waiting; readonly first: Waiting },
): boolean {
  const countOf = (customer: string) =>
    [...running].filter((candidate) =>
      candidate.order.customer === customer && !candidate.isPreempted &&
      candidate.order.rank.name === order.rank.name
    ).length;
  if (countOf(first.customer) > 0) return false;
  const left = countOf(order.customer) - 1;
  return left / order.weight >= 1 / first.weight;
}

/** Suspected requests wait apart, so that they hold up no others. */
function queueName({ service, isSuspect }: ServerWish): string {
  return isSuspect ? `${service} suspects` : service;
}

function refuse(message: string, retryAfterS = RETRY_AFTER_S): Refusal {
  return new Refusal(RefusalType.NotRun, message, retryAfterS);
}
