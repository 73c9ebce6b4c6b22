/**
 * Order in which waiting requests are served: the most urgent rank first, but
 * for ranks below their floor; inside a rank fair between customers by weighted
 * cost in tokens.
 */

import type { Rank } from "../version/types.ts";

/** What the order of a request depends on. */
export interface Ticket {
  readonly rank: Rank;
  readonly customer: string;
  readonly weight: number;
  /** Estimated work, in tokens. */
  readonly cost: number;
}

/** A customer's place in its rank; grows with the work it was given. */
interface CustomerQueue<Waiting extends Ticket> {
  virtualTime: number;
  readonly tickets: Waiting[];
}

interface RankQueue<Waiting extends Ticket> {
  rank: Rank;
  length: number;
  /** Estimated work of all that waits, in tokens. */
  work: number;
  /** Work given lately, halved each half-life. */
  served: number;
  virtualTime: number;
  readonly customers: Map<string, CustomerQueue<Waiting>>;
}

const SERVED_HALF_LIFE_MS = 10_000;
const PERCENT = 100;
const CUSTOMERS_IDLE_MAX = 1_000;

/** The waiting requests of one service. */
export class FairQueue<Waiting extends Ticket> {
  readonly #now: () => number;
  readonly #ranks = new Map<string, RankQueue<Waiting>>();
  #decayedMs: number;

  private constructor(now: () => number) {
    this.#now = now;
    this.#decayedMs = now();
  }

  /** Makes an empty queue; `now` is a monotonic clock in ms. */
  static create<Waiting extends Ticket>(
    now: () => number,
  ): FairQueue<Waiting> {
    return new FairQueue<Waiting>(now);
  }

  /** Count of requests that wait in a rank. */
  lengthOf(rank: string): number {
    return this.#ranks.get(rank)?.length ?? 0;
  }

  /** Estimated work that waits in a rank and all more urgent ones, in tokens. */
  workBefore(rank: Rank): number {
    let work = 0;
    for (const queue of this.#ranks.values()) {
      if (queue.rank.order <= rank.order) work += queue.work;
    }
    return work;
  }

  /** Adds a request; `atFront` puts one back that had been served already. */
  push(ticket: Waiting, atFront = false): void {
    const queue = this.#rankQueue(ticket.rank);
    const customer = queue.customers.get(ticket.customer) ??
      { virtualTime: queue.virtualTime, tickets: [] };
    queue.customers.set(ticket.customer, customer);
    if (customer.tickets.length === 0) {
      customer.virtualTime = Math.max(customer.virtualTime, queue.virtualTime);
    }
    if (atFront) customer.tickets.unshift(ticket);
    else customer.tickets.push(ticket);
    queue.length++;
    queue.work += ticket.cost;
  }

  /** Removes a request that no longer waits. */
  remove(ticket: Waiting): void {
    const queue = this.#ranks.get(ticket.rank.name);
    const tickets = queue?.customers.get(ticket.customer)?.tickets;
    const index = tickets?.indexOf(ticket) ?? -1;
    if (queue === undefined || tickets === undefined || index < 0) return;
    tickets.splice(index, 1);
    queue.length--;
    queue.work -= ticket.cost;
  }

  /** Yields waiting requests, the one to serve next first. */
  *candidates(): Generator<Waiting> {
    for (const queue of this.#rankOrder()) {
      const customers = [...queue.customers.values()]
        .filter(({ tickets }) => tickets.length > 0)
        .sort((a, b) => a.virtualTime - b.virtualTime);
      for (const { tickets } of customers) {
        const [first] = tickets;
        if (first !== undefined) yield first;
      }
    }
  }

  /** Takes a request out because it is served now, and charges its cost. */
  take(ticket: Waiting): void {
    this.remove(ticket);
    const queue = this.#rankQueue(ticket.rank);
    const customer = queue.customers.get(ticket.customer);
    queue.served += ticket.cost;
    if (customer === undefined) return;
    queue.virtualTime = Math.max(queue.virtualTime, customer.virtualTime);
    customer.virtualTime += ticket.cost / ticket.weight;
    if (queue.customers.size > CUSTOMERS_IDLE_MAX) dropIdle(queue);
  }

  /** Ranks in the order of service; ranks below their floor come first. */
  #rankOrder(): RankQueue<Waiting>[] {
    this.#decay();
    const waiting = [...this.#ranks.values()].filter(({ length }) =>
      length > 0
    );
    const total = [...this.#ranks.values()].reduce(
      (sum, { served }) => sum + served,
      0,
    );
    const lack = (queue: RankQueue<Waiting>) =>
      Math.max(0, queue.rank.floorPercent / PERCENT * total - queue.served);
    return waiting.sort((a, b) =>
      lack(b) - lack(a) || a.rank.order - b.rank.order
    );
  }

  #decay(): void {
    const now = this.#now();
    const factor = 0.5 ** ((now - this.#decayedMs) / SERVED_HALF_LIFE_MS);
    this.#decayedMs = now;
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
      served: 0,
      virtualTime: 0,
      customers: new Map(),
    };
    this.#ranks.set(rank.name, queue);
    return queue;
  }
}

function dropIdle<Waiting extends Ticket>(queue: RankQueue<Waiting>): void {
  for (const [name, { tickets, virtualTime }] of queue.customers) {
    const isIdle = tickets.length === 0 && virtualTime <= queue.virtualTime;
    if (isIdle) queue.customers.delete(name);
  }
}
