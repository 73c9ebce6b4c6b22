/**
 * Assigns requests to slots of backend servers in the order of the fair queue,
 * or rejects them before they run.
 */

import { RETRY_AFTER_S } from "../constants.ts";
import { RequestError, RequestErrorType } from "../errors.ts";
import type { BackendServer } from "../version/types.ts";
import { LOG_EVENTS } from "./log_events.ts";
import { FairQueue, type QueueItem } from "./fair_queue.ts";
import type { ServerPoolCriteria } from "./server_pool.ts";
import type { Log } from "./log.ts";
import type { Policy } from "./settings.ts";

/** What the dispatcher itself reads of a request's server criteria. */
export interface DispatchCriteria {
  readonly service: string;
  /** Names of servers that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /**
   * Whether the request is suspected of crashing servers; it must not share a
   * server with another suspect.
   */
  readonly isSuspect: boolean;
  /** Returns why the request must no longer run, if so. */
  readonly rejection?: () => RequestError | undefined;
}

/** The servers whose slots a dispatcher assigns. */
export interface DispatchPool<Criteria extends DispatchCriteria> {
  /** Returns the server for a request, if one has capacity now. */
  readonly choose: (criteria: Criteria) => BackendServer | undefined;
  /**
   * Returns when the first server that could take a request gets requests
   * again, on the monotonic clock in ms; `undefined` if one gets them now, or if
   * the request waits in any case. Absent if servers ask for no pauses.
   */
  readonly heldOffUntilMs?: (criteria: Criteria) => number | undefined;
  /** Counts a request that is assigned to a server. */
  readonly begin: (name: string, criteria: Criteria) => void;
  /** Counts a request that has left a server. */
  readonly end: (name: string, criteria: Criteria) => void;
}

/** Queueing parameters of a request, independent of its server criteria. */
export interface QueueingOptions extends QueueItem {
  /** Longest wait for a slot, in ms. */
  readonly waitMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /**
   * Whether part of the response was delivered; such a request is served before
   * those that have not started.
   */
  readonly isResumed: boolean;
  /**
   * Called to reclaim the slot for another request; absent if the request can't
   * be preempted.
   */
  readonly onPreempt?: () => void;
}

/** A request for a slot. */
export type DispatchRequest<
  Criteria extends DispatchCriteria = ServerPoolCriteria,
> = QueueingOptions & Criteria;

/** A slot on a backend server, held until `release`. */
export interface Reservation {
  readonly server: BackendServer;
  /** Returns the slot; further calls do nothing. */
  readonly release: () => void;
}

/** Limits of a dispatcher; they may change. */
export interface DispatcherLimits {
  /** Requests that may wait per rank of a service. */
  readonly queueMaxLength: number;
  readonly policy: Policy;
}

/** Dependencies and first limits of a dispatcher. */
export interface DispatcherOptions<Criteria extends DispatchCriteria>
  extends DispatcherLimits {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  readonly pool: DispatchPool<Criteria>;
  readonly log: Log;
}

/** A request that holds a slot. */
interface RunningRequest<Criteria extends DispatchCriteria> {
  readonly request: QueuedRequest<Criteria>;
  readonly server: BackendServer;
  isPreempted: boolean;
}

/** The waiting and running requests of one service. */
interface ServiceQueue<Criteria extends DispatchCriteria> {
  readonly waiting: FairQueue<QueuedRequest<Criteria>>;
  /** In the order of slot assignment. */
  readonly running: Set<RunningRequest<Criteria>>;
}

type QueuedRequest<Criteria extends DispatchCriteria> =
  & DispatchRequest<Criteria>
  & {
    readonly resolve: (reservation: Reservation) => void;
    /** Stops waiting with an error. */
    readonly reject: (rejection: RequestError) => void;
    /** End of the longest wait, on the monotonic clock in ms. */
    readonly waitEndMs: number;
  };

/** Waiting requests that are tried in turn until one can be assigned. */
const CANDIDATES_MAX = 16;
/** Queue length from which the estimated wait is used for early refusal. */
const ESTIMATE_MIN_LENGTH = 8;

/** Queues of an entry's waiting requests, by service. */
export class Dispatcher<
  Criteria extends DispatchCriteria = ServerPoolCriteria,
> {
  readonly #options: DispatcherOptions<Criteria>;
  #limits: DispatcherLimits;
  readonly #queues = new Map<string, ServiceQueue<Criteria>>();

  private constructor(options: DispatcherOptions<Criteria>) {
    this.#options = options;
    this.#limits = options;
  }

  /**
   * Creates a dispatcher; the server pool must call `pump` when it has
   * capacity.
   */
  static create<Criteria extends DispatchCriteria>(
    options: DispatcherOptions<Criteria>,
  ): Dispatcher<Criteria> {
    return new Dispatcher(options);
  }

  /** Changes the limits; requests that wait already are not refused. */
  setLimits(limits: DispatcherLimits): void {
    this.#limits = limits;
    for (const { waiting } of this.#queues.values()) {
      waiting.setOrder(limits.policy.queueOrder);
    }
  }

  /** Waits for a slot. Errors: a `RequestError` of type `NotRun`. */
  reserve(request: DispatchRequest<Criteria>): Promise<Reservation> {
    const queue = this.#queue(queueName(request));
    const rejection = this.#rejectEarly(queue, request);
    if (rejection !== undefined) return Promise.reject(rejection);
    return new Promise((resolve, reject) => {
      const stopWaiting = (rejection: RequestError) => {
        settle();
        queue.waiting.remove(waiting);
        reject(rejection);
      };
      const onAbort = () => stopWaiting(createRejection("caller disconnected"));
      const timer = setTimeout(() => {
        stopWaiting(createRejection("no backend server had room in time"));
      }, request.waitMs);
      const settle = () => {
        clearTimeout(timer);
        request.signal.removeEventListener("abort", onAbort);
      };
      const waiting: QueuedRequest<Criteria> = {
        ...request,
        resolve: (reservation) => {
          settle();
          resolve(reservation);
        },
        reject: stopWaiting,
        waitEndMs: this.#options.now() + request.waitMs,
      };
      request.signal.addEventListener("abort", onAbort);
      queue.waiting.push(waiting, request.isResumed);
      if (request.signal.aborted) return onAbort();
      this.#pumpQueue(queue);
    });
  }

  /** Assigns waiting requests while servers have capacity. */
  pump(): void {
    for (const queue of this.#queues.values()) this.#pumpQueue(queue);
  }

  /**
   * Rejects the waiting requests whose servers have all asked for pauses that
   * last longer than the requests may wait.
   */
  rejectHeldOff(): void {
    for (const { waiting } of this.#queues.values()) {
      for (const request of waiting.items()) {
        const rejection = this.#rejectionIfHeldOff(request, request.waitEndMs);
        if (rejection !== undefined) request.reject(rejection);
      }
    }
  }

  /** Rejects the waiting requests that must no longer run. */
  rejectBlocked(): void {
    for (const { waiting } of this.#queues.values()) {
      for (const request of waiting.items()) {
        const rejection = request.rejection?.();
        if (rejection !== undefined) request.reject(rejection);
      }
    }
  }

  #rejectionIfHeldOff(
    request: Criteria,
    waitEndMs: number,
  ): RequestError | undefined {
    const untilMs = this.#options.pool.heldOffUntilMs?.(request);
    if (untilMs === undefined || untilMs <= waitEndMs) return undefined;
    return createRejection("all backend servers asked for a pause");
  }

  /** Rejects a request if the queue is full or its wait limit can't be met. */
  #rejectEarly(
    { waiting }: ServiceQueue<Criteria>,
    request: DispatchRequest<Criteria>,
  ): RequestError | undefined {
    const { rank, waitMs, isResumed } = request;
    const waitEndMs = this.#options.now() + waitMs;
    const rejection = this.#rejectionIfHeldOff(request, waitEndMs);
    if (rejection !== undefined) return rejection;
    if (isResumed) return undefined;
    const { queueMaxLength, policy } = this.#limits;
    const length = waiting.lengthOf(rank.name);
    if (length >= queueMaxLength) {
      return createRejection(`queue of rank ${rank.name} is full`);
    }
    if (!policy.refusesEarly || length < ESTIMATE_MIN_LENGTH) return undefined;
    const overrunMs = waiting.estimateWaitMs(request) - waitMs;
    if (overrunMs <= 0) return undefined;
    const retryAfterS = Math.ceil(overrunMs / 1_000);
    return createRejection(
      `rank ${rank.name} can't be served within the request's wait limit`,
      retryAfterS,
    );
  }

  #pumpQueue(queue: ServiceQueue<Criteria>): void {
    while (this.#dispatchOne(queue)) continue;
    if (this.#limits.policy.preempts) this.#preemptOne(queue);
  }

  #dispatchOne(queue: ServiceQueue<Criteria>): boolean {
    let tried = 0;
    for (const waiting of queue.waiting.candidates()) {
      const server = this.#options.pool.choose(waiting);
      if (server !== undefined) {
        queue.waiting.dequeue(waiting);
        waiting.resolve(this.#assign(queue, { request: waiting, server }));
        return true;
      }
      if (++tried === CANDIDATES_MAX) return false;
    }
    return false;
  }

  /** Asks one running request to give up its slot for the first one waiting. */
  #preemptOne({ waiting, running }: ServiceQueue<Criteria>): void {
    const [first] = waiting.candidates();
    if (first === undefined) return;
    const pending = [...running].filter(({ isPreempted }) => isPreempted);
    if (pending.length >= waiting.lengthOf(first.rank.name)) return;
    const victim = [...running]
      .filter((candidate) => isPreemptible(candidate, first))
      .filter(({ request }) => {
        if (request.rank.order > first.rank.order) {
          return waiting.canPreempt(request.rank);
        }
        return request.rank.order === first.rank.order &&
          exceedsFairShare(running, { request, first });
      })
      .sort((a, b) => a.request.rank.order - b.request.rank.order)
      .at(-1);
    if (victim === undefined) return;
    victim.isPreempted = true;
    this.#options.log(LOG_EVENTS.generationPreempted, {
      server: victim.server.name,
      rank: victim.request.rank.name,
      for: first.rank.name,
    });
    victim.request.onPreempt?.();
  }

  #assign(
    queue: ServiceQueue<Criteria>,
    { request, server }: {
      readonly request: QueuedRequest<Criteria>;
      readonly server: BackendServer;
    },
  ): Reservation {
    const { pool } = this.#options;
    const running: RunningRequest<Criteria> = {
      request,
      server,
      isPreempted: false,
    };
    queue.running.add(running);
    pool.begin(server.name, request);
    return {
      server,
      release: () => {
        if (!queue.running.delete(running)) return;
        queue.waiting.release(request);
        pool.end(server.name, request);
      },
    };
  }

  #queue(name: string): ServiceQueue<Criteria> {
    const { now } = this.#options;
    const queue = this.#queues.get(name) ?? {
      waiting: FairQueue.create<QueuedRequest<Criteria>>({
        now,
        order: this.#limits.policy.queueOrder,
      }),
      running: new Set<RunningRequest<Criteria>>(),
    };
    this.#queues.set(name, queue);
    return queue;
  }
}

function isPreemptible<Criteria extends DispatchCriteria>(
  { request, server, isPreempted }: RunningRequest<Criteria>,
  first: QueuedRequest<Criteria>,
): boolean {
  return !isPreempted && request.onPreempt !== undefined &&
    !first.excluded.has(server.name);
}

/**
 * Whether a customer exceeds its fair share compared with a waiting customer of
 * the same rank that runs nothing: after preemption it would still run at least
 * as much, by weight.
 */
function exceedsFairShare<Criteria extends DispatchCriteria>(
  running: ReadonlySet<RunningRequest<Criteria>>,
  { request, first }: {
    readonly request: QueuedRequest<Criteria>;
    readonly first: QueuedRequest<Criteria>;
  },
): boolean {
  const countOf = (customer: string) =>
    [...running].filter((candidate) =>
      candidate.request.customer === customer && !candidate.isPreempted &&
      candidate.request.rank.name === request.rank.name
    ).length;
  if (countOf(first.customer) > 0) return false;
  const remaining = countOf(request.customer) - 1;
  return remaining / request.weight >= 1 / first.weight;
}

/** Suspected requests have a queue of their own, so they don't block others. */
function queueName({ service, isSuspect }: DispatchCriteria): string {
  return isSuspect ? `${service} suspects` : service;
}

function createRejection(
  message: string,
  retryAfterS = RETRY_AFTER_S,
): RequestError {
  return new RequestError(RequestErrorType.NotRun, message, retryAfterS);
}
