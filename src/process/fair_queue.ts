/**
 * Order in which waiting requests are served: the most urgent rank first, but
 * for ranks below their floor; inside a rank fair between customers by weighted
 * cost in tokens.
 */

import type { Rank } from "../version/types.ts";
import { QueueOrder } from "./settings.ts";

/** What the order of a request depends on. */
export interface QueueItem {
  readonly rank: Rank;
  readonly customer: string;
  readonly weight: number;
  /** Estimated work, in tokens. */
  readonly cost: number;
}

/** What a queue needs of its process. */
export interface FairQueueOptions {
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  readonly order: QueueOrder;
}

/** A customer's place in its rank; grows with the work it was given. */
interface CustomerQueue<Waiting extends QueueItem> {
  virtualTime: number;
  weight: number;
  /** Estimated work of all that waits, in tokens. */
  work: number;
  readonly tickets: Waiting[];
}

interface RankQueue<Waiting extends QueueItem> {
  rank: Rank;
  length: number;
  /** Estimated work of all that waits, in tokens. */
  work: number;
  /** Requests that were taken and have not been released. */
  running: number;
  /** Work given lately to requests that had waited, halved each half-life. */
  served: number;
  virtualTime: number;
  readonly customers: Map<string, CustomerQueue<Waiting>>;
}

const SERVED_HALF_LIFE_MS = 10_000;
/** Time with a backlog before the rate of service is known, in ms. */
const BACKLOG_MIN_MS = 1_000;
const PERCENT = 100;
const CUSTOMERS_IDLE_MAX = 1_000;

/** The waiting requests of one service. */
export class FairQueue<Waiting extends QueueItem> {
  readonly #now: () => number;
  readonly #order: QueueOrder;
  /** All waiting requests in the order of their coming, with its time. */
  readonly #arrivals = new Map<Waiting, number>();
  readonly #ranks = new Map<string, RankQueue<Waiting>>();
  #decayedMs: number;
  /** Time lately in which requests waited, halved each half-life, in ms. */
  #backlogMs = 0;

  private constructor({ now, order }: FairQueueOptions) {
    this.#now = now;
    this.#order = order;
    this.#decayedMs = now();
  }

  /** Makes an empty queue. */
  static create<Waiting extends QueueItem>(
    options: FairQueueOptions,
  ): FairQueue<Waiting> {
    return new FairQueue<Waiting>(options);
  }

  /** Count of requests that wait in a rank. */
  lengthOf(rank: string): number {
    return this.#ranks.get(rank)?.length ?? 0;
  }

  /** Adds a request; `atFront` puts one back that had been served already. */
  push(ticket: Waiting, atFront = false): void {
    this.#decay();
    const queue = this.#rankQueue(ticket.rank);
    const customer = queue.customers.get(ticket.customer) ??
      {
        virtualTime: queue.virtualTime,
        weight: ticket.weight,
        work: 0,
        tickets: [],
      };
    queue.customers.set(ticket.customer, customer);
    if (customer.tickets.length === 0) {
      customer.virtualTime = Math.max(customer.virtualTime, queue.virtualTime);
    }
    if (atFront) customer.tickets.unshift(ticket);
    else customer.tickets.push(ticket);
    customer.weight = ticket.weight;
    customer.work += ticket.cost;
    this.#arrivals.set(ticket, this.#decayedMs);
    queue.length++;
    queue.work += ticket.cost;
  }

  /** Removes a request that no longer waits. */
  remove(ticket: Waiting): void {
    const queue = this.#ranks.get(ticket.rank.name);
    const customer = queue?.customers.get(ticket.customer);
    const index = customer?.tickets.indexOf(ticket) ?? -1;
    if (queue === undefined || customer === undefined || index < 0) return;
    customer.tickets.splice(index, 1);
    customer.work -= ticket.cost;
    this.#arrivals.delete(ticket);
    queue.length--;
    queue.work -= ticket.cost;
  }

  /** Yields waiting requests, the one to serve next first. */
  *candidates(): Generator<Waiting> {
    if (this.#order === QueueOrder.Fifo) {
      yield* this.#arrivals.keys();
      return;
    }
    for (const queue of this.#rankOrder()) yield* inOrder(queue.customers);
  }

  /** Takes a request out because it is served now, and charges its cost. */
  dequeue(ticket: Waiting): void {
    this.#decay();
    const hasWaited = (this.#arrivals.get(ticket) ?? 0) < this.#decayedMs;
    this.remove(ticket);
    const queue = this.#rankQueue(ticket.rank);
    const customer = queue.customers.get(ticket.customer);
    queue.running++;
    if (hasWaited) queue.served += ticket.cost;
    if (customer === undefined) return;
    queue.virtualTime = Math.max(queue.virtualTime, customer.virtualTime);
    customer.virtualTime += ticket.cost / ticket.weight;
    if (queue.customers.size > CUSTOMERS_IDLE_MAX) dropIdle(queue);
  }

  /** Notes that a request which was taken has ended. */
  release(ticket: Waiting): void {
    this.#rankQueue(ticket.rank).running--;
  }

  /** Ranks in the order of service; ranks below their floor come first. */
  #rankOrder(): RankQueue<Waiting>[] {
    return [...this.#ranks.values()]
      .filter(({ length }) => length > 0)
      .sort((a, b) =>
        this.#lackOf(b) - this.#lackOf(a) || a.rank.order - b.rank.order
      );
  }

  /** Running requests that a rank lacks to its floor, 0 when it has it. */
  #lackOf({ rank, running }: RankQueue<Waiting>): number {
    const floor = rank.floorPercent / PERCENT * this.#totalRunning();
    return Math.max(0, floor - running);
  }

  #totalRunning(): number {
    let total = 0;
    for (const { running } of this.#ranks.values()) total += running;
    return total;
  }

  /**
   * Estimated time until a request that comes now is served, in ms; 0 until a
   * backlog has lasted long enough to tell. What was served without waiting says
   * how little was asked for, not how much can be served. Work of other customers counts as far as fairness
   * lets it go first.
   */
  estimateWaitMs(ticket: QueueItem): number {
    this.#decay();
    if (this.#backlogMs < BACKLOG_MIN_MS) return 0;
    const perMs = this.#totalServed() / this.#backlogMs;
    if (perMs === 0) return 0;
    const inRank = this.#workBefore(ticket);
    let urgent = 0;
    for (const { rank, work } of this.#ranks.values()) {
      if (rank.order < ticket.rank.order) urgent += work;
    }
    const allMs = (urgent + inRank) / perMs;
    const floorPerMs = perMs * ticket.rank.floorPercent / PERCENT;
    return floorPerMs > 0 ? Math.min(allMs, inRank / floorPerMs) : allMs;
  }

  /** Work of a ticket's rank that is served before it, in tokens. */
  #workBefore(ticket: QueueItem): number {
    const customers = this.#ranks.get(ticket.rank.name)?.customers;
    const own = customers?.get(ticket.customer)?.work ?? 0;
    const perWeight = (own + ticket.cost) / ticket.weight;
    let before = own;
    for (const [name, { work, weight }] of customers ?? []) {
      if (name !== ticket.customer) {
        before += Math.min(work, perWeight * weight);
      }
    }
    return before;
  }

  /** Whether a rank keeps its floor when one of its requests is taken back. */
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
    const passedMs = now - this.#decayedMs;
    if (passedMs === 0) return;
    const factor = 0.5 ** (passedMs / SERVED_HALF_LIFE_MS);
    this.#decayedMs = now;
    this.#backlogMs *= factor;
    if (this.#arrivals.size > 0) this.#backlogMs += passedMs;
    for (const queue of this.#ranks.values()) queue.served *= factor;
  }

  #rankQueue(rank: Rank): RankQueue<Waiting> {
    const held = this.#ranks.get(rank.name);
    if (held !== undefined) {
      held.rank = rank;
      return held;
    }
    const queue: RankQueue<Waiting> = {
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

/** Yields the first ticket of each customer, the least served first. */
function* inOrder<Waiting extends QueueItem>(
  customers: ReadonlyMap<string, CustomerQueue<Waiting>>,
): Generator<Waiting> {
  const waiting = new Set(
    [...customers.values()].filter(({ tickets }) => tickets.length > 0),
  );
  while (waiting.size > 0) {
    let least: CustomerQueue<Waiting> | undefined;
    for (const customer of waiting) {
      if (least === undefined || customer.virtualTime < least.virtualTime) {
        least = customer;
      }
    }
    const [first] = least?.tickets ?? [];
    if (least === undefined || first === undefined) return;
    waiting.delete(least);
    yield first;
  }
}

function dropIdle<Waiting extends QueueItem>(queue: RankQueue<Waiting>): void {
  for (const [name, { tickets, virtualTime }] of queue.customers) {
    const isIdle = tickets.length === 0 && virtualTime <= queue.virtualTime;
    if (isIdle) queue.customers.delete(name);
  }
}
