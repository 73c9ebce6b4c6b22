/** Order of service and wait estimates of the fair queue. */

import { expect, test } from "vitest";
import { ObjectKind, type Rank } from "../version/types.ts";
import { FairQueue, type QueueItem } from "./fair_queue.ts";
import { QueueOrder } from "./settings.ts";

const URGENT = createRank("urgent", 0, 50);
const PATIENT = createRank("patient", 1, 20);

test("a request of a more urgent rank is served before an earlier one", () => {
  const queue = createQueue();
  queue.push(createItem(PATIENT, "a"));
  queue.push(createItem(URGENT, "b"));
  expect(serve(queue, 2)).toEqual(["urgent b", "patient a"]);
});

test("a rank gets its guaranteed share while a more urgent rank is overloaded", () => {
  const queue = createQueue();
  for (let i = 0; i < 200; i++) {
    queue.push(createItem(URGENT, "a"));
    queue.push(createItem(PATIENT, "b"));
  }
  const served = serve(queue, 100).filter((name) => name === "patient b");
  expect(served.length).toBeGreaterThanOrEqual(18);
  expect(served.length).toBeLessThanOrEqual(22);
  expect(queue.canPreempt(PATIENT)).toBe(false);
  expect(queue.canPreempt(URGENT)).toBe(true);
});

test("customers of a rank share by weight and cost, not by number of requests", () => {
  const queue = createQueue();
  for (let i = 0; i < 100; i++) {
    queue.push({ ...createItem(PATIENT, "large"), cost: 400 });
    queue.push({ ...createItem(PATIENT, "small"), cost: 100 });
    queue.push({ ...createItem(PATIENT, "double"), cost: 100, weight: 2 });
  }
  const served = serve(queue, 65);
  const count = (customer: string) =>
    served.filter((name) => name === `patient ${customer}`).length;
  expect(Math.abs(count("large") - 5)).toBeLessThanOrEqual(1);
  expect(Math.abs(count("small") - 20)).toBeLessThanOrEqual(1);
  expect(Math.abs(count("double") - 40)).toBeLessThanOrEqual(1);
});

test("a customer gets no credit for idle time", () => {
  const queue = createQueue();
  for (let i = 0; i < 50; i++) queue.push(createItem(PATIENT, "busy"));
  serve(queue, 40);
  for (let i = 0; i < 50; i++) queue.push(createItem(PATIENT, "idle"));
  const next = serve(queue, 10).filter((name) => name === "patient idle");
  expect(next.length).toBeLessThanOrEqual(6);
});

test("a large customer's backlog does not lengthen a small customer's estimated wait", () => {
  let nowMs = 0;
  const queue = createQueue(() => nowMs);
  for (let i = 0; i < 110; i++) queue.push(createItem(PATIENT, "large"));
  for (let i = 0; i < 10; i++) {
    nowMs += 200;
    serve(queue, 1);
  }
  const small = queue.estimateWaitMs(createItem(PATIENT, "small"));
  const large = queue.estimateWaitMs(createItem(PATIENT, "large"));
  expect(small).toBeGreaterThan(0);
  expect(large / small).toBeCloseTo(100);
});

test("the low service rate before a burst does not raise the wait estimated during it", () => {
  let nowMs = 0;
  const queue = createQueue(() => nowMs);
  queue.push(createItem(URGENT, "a"));
  serve(queue, 1);
  nowMs = 60_000;
  for (let i = 0; i < 100; i++) queue.push(createItem(URGENT, "a"));
  serve(queue, 64);
  nowMs += 50;
  expect(queue.estimateWaitMs(createItem(URGENT, "a"))).toBe(0);
});

test("the estimated wait follows the service rate under a backlog", () => {
  let nowMs = 0;
  const queue = createQueue(() => nowMs);
  for (let i = 0; i < 100; i++) queue.push(createItem(URGENT, "a"));
  for (let i = 0; i < 40; i++) {
    nowMs += 100;
    serve(queue, 1);
  }
  // 60 wait, and one is served every 100 ms.
  const estimateMs = queue.estimateWaitMs(createItem(URGENT, "a"));
  expect(estimateMs).toBeGreaterThan(5_000);
  expect(estimateMs).toBeLessThan(7_000);
});

test("a removed request is not served", () => {
  const queue = createQueue();
  const removed = createItem(URGENT, "removed");
  queue.push(removed);
  queue.push(createItem(URGENT, "remaining"));
  queue.remove(removed);
  expect(serve(queue, 2)).toEqual(["urgent remaining"]);
  expect(queue.lengthOf("urgent")).toBe(0);
});

function createQueue(now = () => 0): FairQueue<QueueItem> {
  return FairQueue.create<QueueItem>({ now, order: QueueOrder.Fair });
}

function createRank(name: string, order: number, floorPercent: number): Rank {
  return { kind: ObjectKind.Rank, name, order, targetMs: 1_000, floorPercent };
}

function createItem(rank: Rank, customer: string): QueueItem {
  return { rank, customer, weight: 1, cost: 100 };
}

function serve(queue: FairQueue<QueueItem>, count: number): string[] {
  const served: string[] = [];
  while (served.length < count) {
    const [first] = queue.candidates();
    if (first === undefined) break;
    queue.dequeue(first);
    served.push(`${first.rank.name} ${first.customer}`);
  }
  return served;
}
