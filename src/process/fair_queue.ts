/**
 * Order in which waiting requests are served: ranks below their guaranteed
 * share first, then the most urgent rank; within a rank, weighted fair queueing
 * between customers by estimated cost in tokens.
 */

import type { Rank } from "../version/types.ts";
import { QueueOrder } from "./settings.ts";

/** Properties of a request that determine its order. */
export interface QueueItem {
  readonly rank: Rank;
  readonly customer: string;
  readonly weight: number;
  /** Estimated work, in tokens. */
  readonly cost: number;
}

/** Clock and order of a queue. */
export interface FairQueueOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  readonly order: QueueOrder;
}

/**
 * Waiting requests of one customer within a rank; each served request adds its
 * cost, divided by the customer's weight, to the virtual time.
 */
interface CustomerQueue<Item extends QueueItem> {
  virtualTime: number;
  weight: number;
  /** Total cost of the waiting requests, in tokens. */
  work: number;
  readonly items: Item[];
}

interface RankQueue<Item extends QueueItem> {
  rank: Rank;
  length: number;
  /** Total cost of the waiting requests, in tokens. */
  work: number;
  /** Requests that were dequeued and not released yet. */
  running: number;
  /**
   * Cost of served requests that had to wait, in tokens, with exponential
   * decay.
   */
  served: number;
  virtualTime: number;
  readonly customers: Map<string, CustomerQueue<Item>>;
}

const SERVED_HALF_LIFE_MS = 10_000;
/** Backlogged time needed to estimate the service rate, in ms. */
const BACKLOG_MIN_MS = 1_000;
const PERCENT = 100;
const CUSTOMERS_CLEANUP_MIN = 1_000;

/** The waiting requests of one service. */
export class FairQueue<Item extends QueueItem> {
  readonly #now: () => number;
  #order: QueueOrder;
  /** All waiting requests in order of arrival, with the time of it. */
  readonly #arrivals = new Map<Item, number>();
  readonly #ranks = new Map<string, RankQueue<Item>>();
  #lastDecayMs: number;
  /** Time during which requests waited, in ms, with exponential decay. */
  #backlogMs = 0;

  private constructor({ now, order }: FairQueueOptions) {
    this.#now = now;
    this.#order = order;
    this.#lastDecayMs = now();
  }

  /** Creates an empty queue. */
  static create<Item extends QueueItem>(
    options: FairQueueOptions,
  ): FairQueue<Item> {
    return new FairQueue<Item>(options);
  }

  /** Changes the order in which the waiting requests are served. */
  setOrder(order: QueueOrder): void {
    this.#order = order;
  }

  /** Returns the number of waiting requests of a rank. */
  lengthOf(rank: string): number {
    return this.#ranks.get(rank)?.length ?? 0;
  }

  /**
   * Adds a request; `atFront` puts one that was already being served before the
   * others of its customer.
   */
  push(item: Item, atFront = false): void {
    this.#decay();
    const queue = this.#rankQueue(item.rank);
    const customer = queue.customers.get(item.customer) ??
      {
        virtualTime: queue.virtualTime,
        weight: item.weight,
        work: 0,
        items: [],
      };
    queue.customers.set(item.customer, customer);
    if (customer.items.length === 0) {
      customer.virtualTime = Math.max(customer.virtualTime, queue.virtualTime);
    }
    if (atFront) customer.items.unshift(item);
    else customer.items.push(item);
    customer.weight = item.weight;
    customer.work += item.cost;
    this.#arrivals.set(item, this.#lastDecayMs);
    queue.length++;
    queue.work += item.cost;
  }

  /** Removes a request that stops waiting. */
  remove(item: Item): void {
    const queue = this.#ranks.get(item.rank.name);
    const customer = queue?.customers.get(item.customer);
    const index = customer?.items.indexOf(item) ?? -1;
    if (queue === undefined || customer === undefined || index < 0) return;
    customer.items.splice(index, 1);
    customer.work -= item.cost;
    this.#arrivals.delete(item);
    queue.length--;
    queue.work -= item.cost;
  }

  /** Returns all waiting requests in the order of arrival. */
  items(): readonly Item[] {
    return [...this.#arrivals.keys()];
  }

  /**
   * Yields waiting requests in the order of service: all of them under FIFO,
   * else the first of each customer in each rank.
   */
  *candidates(): Generator<Item> {
    if (this.#order === QueueOrder.Fifo) {
      yield* this.#arrivals.keys();
      return;
    }
    for (const queue of this.#sortedRanks()) yield* fairOrder(queue.customers);
  }

  /** Removes a request that is assigned a slot, and charges its cost. */
  dequeue(item: Item): void {
    this.#decay();
    const hadToWait = (this.#arrivals.get(item) ?? 0) < this.#lastDecayMs;
    this.remove(item);
    const queue = this.#rankQueue(item.rank);
    const customer = queue.customers.get(item.customer);
    queue.running++;
    if (hadToWait) queue.served += item.cost;
    if (customer === undefined) return;
    queue.virtualTime = Math.max(queue.virtualTime, customer.virtualTime);
    customer.virtualTime += item.cost / item.weight;
    if (queue.customers.size > CUSTOMERS_CLEANUP_MIN) dropIdleCustomers(queue);
  }

  /** Records that a dequeued request has ended. */
  release(item: Item): void {
    this.#rankQueue(item.rank).running--;
  }

  /**
   * Returns the ranks in the order of service: first those below their
   * guaranteed share, the largest deficit first, then by urgency.
   */
  #sortedRanks(): RankQueue<Item>[] {
    return [...this.#ranks.values()]
      .filter(({ length }) => length > 0)
      .sort((a, b) =>
        this.#deficitOf(b) - this.#deficitOf(a) || a.rank.order - b.rank.order
      );
  }

  /**
   * Number of running requests by which a rank is below its guaranteed share; 0
   * if it is not.
   */
  #deficitOf({ rank, running }: RankQueue<Item>): number {
    const floor = rank.floorPercent / PERCENT * this.#totalRunning();
    return Math.max(0, floor - running);
  }

  #totalRunning(): number {
    let total = 0;
    for (const { running } of this.#ranks.values()) total += running;
    return total;
  }

  /**
   * Estimated time until a request that arrives now is served, in ms; 0 until a
   * backlog has lasted long enough. Requests served without waiting are
   * ignored: they show the demand, not the capacity. Other customers' work
   * counts only as far as fair queueing serves it first.
   */
  estimateWaitMs(item: QueueItem): number {
    this.#decay();
    if (this.#backlogMs < BACKLOG_MIN_MS) return 0;
    const tokensPerMs = this.#totalServed() / this.#backlogMs;
    if (tokensPerMs === 0) return 0;
    const rankWork = this.#workBefore(item);
    let urgentWork = 0;
    for (const { rank, work } of this.#ranks.values()) {
      if (rank.order < item.rank.order) urgentWork += work;
    }
    const waitMs = (urgentWork + rankWork) / tokensPerMs;
    const floorTokensPerMs = tokensPerMs * item.rank.floorPercent / PERCENT;
    return floorTokensPerMs > 0
      ? Math.min(waitMs, rankWork / floorTokensPerMs)
      : waitMs;
  }

  /** Work of an item's rank that is served before it, in tokens. */
  #workBefore(item: QueueItem): number {
    const customers = this.#ranks.get(item.rank.name)?.customers;
    const ownWork = customers?.get(item.customer)?.work ?? 0;
    const workPerWeight = (ownWork + item.cost) / item.weight;
    let workBefore = ownWork;
    for (const [name, { work, weight }] of customers ?? []) {
      if (name !== item.customer) {
        workBefore += Math.min(work, workPerWeight * weight);
      }
    }
    return workBefore;
  }

  /**
   * Whether a rank keeps its guaranteed share if one of its requests is
   * preempted.
   */
  canPreempt(rank: Rank): boolean {
    const { running } = this.#rankQueue(rank);
    const floor = rank.floorPercent / PERCENT * this.#totalRunning();
    return running - 1 >= floor;
  }

  #totalServed(): number {
    let total = 0;
    for (const { served } of this.#ranks.values()) total += served;
    return total;
  }

  #decay(): void {
    const now = this.#now();
    const elapsedMs = now - this.#lastDecayMs;
    if (elapsedMs === 0) return;
    const factor = 0.5 ** (elapsedMs / SERVED_HALF_LIFE_MS);
    this.#lastDecayMs = now;
    this.#backlogMs *= factor;
    if (this.#arrivals.size > 0) this.#backlogMs += elapsedMs;
    for (const queue of this.#ranks.values()) queue.served *= factor;
  }

  #rankQueue(rank: Rank): RankQueue<Item> {
    const existing = this.#ranks.get(rank.name);
    if (existing !== undefined) {
      existing.rank = rank;
      return existing;
    }
    const queue: RankQueue<Item> = {
      rank,
      length: 0,
      work: 0,
      running: 0,
      served: 0,
      virtualTime: 0,
      customers: new Map(),
    };
    this.#ranks.set(rank.name, queue);
    return queue;
  }
}

/** Yields the first item of each customer, in the order of virtual time. */
function* fairOrder<Item extends QueueItem>(
  customers: ReadonlyMap<string, CustomerQueue<Item>>,
): Generator<Item> {
  const waiting = new Set(
    [...customers.values()].filter(({ items }) => items.length > 0),
  );
  while (waiting.size > 0) {
    let next: CustomerQueue<Item> | undefined;
    for (const customer of waiting) {
      if (next === undefined || customer.virtualTime < next.virtualTime) {
        next = customer;
      }
    }
    const [first] = next?.items ?? [];
    if (next === undefined || first === undefined) return;
    waiting.delete(next);
    yield first;
  }
}

function dropIdleCustomers<Item extends QueueItem>(
  queue: RankQueue<Item>,
): void {
  for (const [name, { items, virtualTime }] of queue.customers) {
    const isIdle = items.length === 0 && virtualTime <= queue.virtualTime;
    if (isIdle) queue.customers.delete(name);
  }
}
