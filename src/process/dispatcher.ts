/**
 * Gives each request a place on a backend server, in the order of the fair
 * queue, or refuses it as not run.
 */

import { RETRY_AFTER_S } from "../constants.ts";
import { RequestError, RequestErrorType } from "../errors.ts";
import type { BackendServer } from "../version/types.ts";
import { LOG_EVENTS } from "./log_events.ts";
import { FairQueue, type QueueItem } from "./fair_queue.ts";
import type { ServerPoolCriteria } from "./server_pool.ts";
import type { Log } from "./log.ts";
import type { Policy } from "./settings.ts";

/** What the dispatcher itself reads of a wish for a server. */
export interface DispatchCriteria {
  readonly service: string;
  /** Names of servers that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Whether the request must be alone among suspected ones. */
  readonly isSuspect: boolean;
}

/** The servers that a dispatcher gives places on. */
export interface DispatchPool<Wish extends DispatchCriteria> {
  /** Returns the server that a request goes to now, if one has room. */
  readonly choose: (wish: Wish) => BackendServer | undefined;
  /** Notes that a request goes to a server. */
  readonly begin: (name: string, wish: Wish) => void;
  /** Notes that a request has left a server. */
  readonly end: (name: string, wish: Wish) => void;
}

/** What any request asks of the dispatcher, whatever its wish for a server. */
export interface QueueingOptions extends QueueItem {
  /** Longest wait for a place, in ms. */
  readonly waitMs: number;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
  /** A resumed generation is served before those that have not begun. */
  readonly isResumed: boolean;
  /** Takes the place back for more urgent work; absent where that can't be. */
  readonly onPreempt?: () => void;
}

/** What a request asks of the dispatcher. */
export type DispatchRequest<
  Wish extends DispatchCriteria = ServerPoolCriteria,
> = QueueingOptions & Wish;

/** A place on a backend server, held until `close`. */
export interface Reservation {
  readonly server: BackendServer;
  /** Gives the place back; further calls do nothing. */
  readonly release: () => void;
}

/** What the dispatcher needs of its process. */
export interface DispatcherOptions<Wish extends DispatchCriteria> {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  readonly pool: DispatchPool<Wish>;
  /** Requests that may wait in one rank of a service. */
  readonly queueMaxLength: number;
  readonly policy: Policy;
  readonly log: Log;
}

/** A request that holds a place. */
interface Running<Wish extends DispatchCriteria> {
  readonly order: Waiting<Wish>;
  readonly server: BackendServer;
  isPreempted: boolean;
}

/** The waiting and running requests of one service. */
interface ServiceQueue<Wish extends DispatchCriteria> {
  readonly waiting: FairQueue<Waiting<Wish>>;
  /** In the order in which they got their places. */
  readonly running: Set<Running<Wish>>;
}

type Waiting<Wish extends DispatchCriteria> = DispatchRequest<Wish> & {
  readonly resolve: (place: Reservation) => void;
};

/** Heads of the queue that are tried when the first finds no server. */
const CANDIDATES_TRIED = 16;
/** Shorter queues are not judged by their estimated wait. */
const ESTIMATE_MIN_LENGTH = 8;

/** The waiting requests of an entry, by service. */
export class Dispatcher<Wish extends DispatchCriteria = ServerPoolCriteria> {
  readonly #options: DispatcherOptions<Wish>;
  readonly #queues = new Map<string, ServiceQueue<Wish>>();

  private constructor(options: DispatcherOptions<Wish>) {
    this.#options = options;
  }

  /** Makes a dispatcher; the fleet must call `pump` when it has room. */
  static create<Wish extends DispatchCriteria>(
    options: DispatcherOptions<Wish>,
  ): Dispatcher<Wish> {
    return new Dispatcher(options);
  }

  /** Waits for a place. Errors: a `RequestError` of type not run. */
  reserve(order: DispatchRequest<Wish>): Promise<Reservation> {
    const queue = this.#queue(queueName(order));
    const refusal = this.#refuseEarly(queue, order);
    if (refusal !== undefined) return Promise.reject(refusal);
    return new Promise((resolve, reject) => {
      const stopWaiting = (refusal: RequestError) => {
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
      const waiting: Waiting<Wish> = {
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
    { waiting }: ServiceQueue<Wish>,
    order: DispatchRequest<Wish>,
  ): RequestError | undefined {
    const { rank, waitMs, isResumed } = order;
    if (isResumed) return undefined;
    const { queueMaxLength: queueLength, policy } = this.#options;
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

  #pumpService(queue: ServiceQueue<Wish>): void {
    while (this.#serveOne(queue)) continue;
    if (this.#options.policy.preempts) this.#preemptOne(queue);
  }

  #serveOne(queue: ServiceQueue<Wish>): boolean {
    let tried = 0;
    for (const waiting of queue.waiting.candidates()) {
      const server = this.#options.pool.choose(waiting);
      if (server !== undefined) {
        queue.waiting.dequeue(waiting);
        waiting.resolve(this.#occupy(queue, { order: waiting, server }));
        return true;
      }
      if (++tried === CANDIDATES_TRIED) return false;
    }
    return false;
  }

  /** Asks one running request to give its place to the first that waits. */
  #preemptOne({ waiting, running }: ServiceQueue<Wish>): void {
    const [first] = waiting.candidates();
    if (first === undefined) return;
    const asked = [...running].filter(({ isPreempted }) => isPreempted);
    if (asked.length >= waiting.lengthOf(first.rank.name)) return;
    const victim = [...running]
      .filter((candidate) => mayTakeBack(candidate, first))
      .filter(({ order }) => {
        if (order.rank.order > first.rank.order) {
          return waiting.canPreempt(order.rank);
        }
        return order.rank.order === first.rank.order &&
          isOverShare(running, { order, first });
      })
      .sort((a, b) => a.order.rank.order - b.order.rank.order)
      .at(-1);
    if (victim === undefined) return;
    victim.isPreempted = true;
    this.#options.log(LOG_EVENTS.generationPreempted, {
      server: victim.server.name,
      rank: victim.order.rank.name,
      for: first.rank.name,
    });
    victim.order.onPreempt?.();
  }

  #occupy(
    queue: ServiceQueue<Wish>,
    { order, server }: {
      readonly order: Waiting<Wish>;
      readonly server: BackendServer;
    },
  ): Reservation {
    const { pool: fleet } = this.#options;
    const running: Running<Wish> = { order, server, isPreempted: false };
    queue.running.add(running);
    fleet.begin(server.name, order);
    return {
      server,
      release: () => {
        if (!queue.running.delete(running)) return;
        queue.waiting.release(order);
        fleet.end(server.name, order);
      },
    };
  }

  #queue(name: string): ServiceQueue<Wish> {
    const { now, policy } = this.#options;
    const queue = this.#queues.get(name) ?? {
      waiting: FairQueue.create<Waiting<Wish>>({
        now,
        order: policy.queueOrder,
      }),
      running: new Set<Running<Wish>>(),
    };
    this.#queues.set(name, queue);
    return queue;
  }
}

function mayTakeBack<Wish extends DispatchCriteria>(
  { order, server, isPreempted }: Running<Wish>,
  first: Waiting<Wish>,
): boolean {
  return !isPreempted && order.onPreempt !== undefined &&
    !first.excluded.has(server.name);
}

/**
 * Whether a customer runs more than its share beside one of its rank that waits
 * and runs nothing: with one place less it still runs more by weight.
 */
function isOverShare<Wish extends DispatchCriteria>(
  running: ReadonlySet<Running<Wish>>,
  { order, first }: {
    readonly order: Waiting<Wish>;
    readonly first: Waiting<Wish>;
  },
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
function queueName({ service, isSuspect }: DispatchCriteria): string {
  return isSuspect ? `${service} suspects` : service;
}

function refuse(message: string, retryAfterS = RETRY_AFTER_S): RequestError {
  return new RequestError(RequestErrorType.NotRun, message, retryAfterS);
}
