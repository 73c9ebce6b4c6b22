/** The order in which waiting requests are served. */

import { expect, test } from "vitest";
import { ObjectKind, type Rank } from "../version/types.ts";
import { FairQueue, type QueueItem } from "./fair_queue.ts";
import { QueueOrder } from "./settings.ts";

const URGENT = createRank("urgent", 0, 50);
const PATIENT = createRank("patient", 1, 20);

test("urgent work is served before patient work that came first", () => {
  const queue = createQueue();
  queue.push(ticket(PATIENT, "a"));
  queue.push(ticket(URGENT, "b"));
  expect(serve(queue, 2)).toEqual(["urgent b", "patient a"]);
});

test("a rank below its floor is served under an urgent flood", () => {
  const queue = createQueue();
  for (let at = 0; at < 200; at++) {
    queue.push(ticket(URGENT, "a"));
    queue.push(ticket(PATIENT, "b"));
  }
  const served = serve(queue, 100).filter((name) => name === "patient b");
  expect(served.length).toBeGreaterThanOrEqual(18);
  expect(served.length).toBeLessThanOrEqual(22);
  expect(queue.canPreempt(PATIENT)).toBe(false);
  expect(queue.canPreempt(URGENT)).toBe(true);
});

test("customers of a rank share by weight and cost, not by requests", () => {
  const queue = createQueue();
  for (let at = 0; at < 100; at++) {
    queue.push({ ...ticket(PATIENT, "large"), cost: 400 });
    queue.push({ ...ticket(PATIENT, "small"), cost: 100 });
    queue.push({ ...ticket(PATIENT, "double"), cost: 100, weight: 2 });
  }
  const served = serve(queue, 65);
  const count = (customer: string) =>
    served.filter((name) => name === `patient ${customer}`).length;
  expect(Math.abs(count("large") - 5)).toBeLessThanOrEqual(1);
  expect(Math.abs(count("small") - 20)).toBeLessThanOrEqual(1);
  expect(Math.abs(count("double") - 40)).toBeLessThanOrEqual(1);
});

test("a customer that was idle gets no credit for it", () => {
  const queue = createQueue();
  for (let at = 0; at < 50; at++) queue.push(ticket(PATIENT, "busy"));
  serve(queue, 40);
  for (let at = 0; at < 50; at++) queue.push(ticket(PATIENT, "idle"));
  const next = serve(queue, 10).filter((name) => name === "patient idle");
  expect(next.length).toBeLessThanOrEqual(6);
});

test("a large customer's backlog does not lengthen a small one's estimate", () => {
  let nowMs = 0;
  const queue = createQueue(() => nowMs);
  for (let at = 0; at < 110; at++) queue.push(ticket(PATIENT, "large"));
  for (let at = 0; at < 10; at++) {
    nowMs += 200;
    serve(queue, 1);
  }
  const small = queue.estimateWaitMs(ticket(PATIENT, "small"));
  const large = queue.estimateWaitMs(ticket(PATIENT, "large"));
  expect(small).toBeGreaterThan(0);
  expect(large / small).toBeCloseTo(100);
});

test("a burst after an idle time is not judged by how little was served before", () => {
  let nowMs = 0;
  const queue = createQueue(() => nowMs);
  queue.push(ticket(URGENT, "a"));
  serve(queue, 1);
  nowMs = 60_000;
  for (let at = 0; at < 100; at++) queue.push(ticket(URGENT, "a"));
  serve(queue, 64);
  nowMs += 50;
  expect(queue.estimateWaitMs(ticket(URGENT, "a"))).toBe(0);
});

test("the estimate follows the rate at which a backlog is served", () => {
  let nowMs = 0;
  const queue = createQueue(() => nowMs);
  for (let at = 0; at < 100; at++) queue.push(ticket(URGENT, "a"));
  for (let at = 0; at < 40; at++) {
    nowMs += 100;
    serve(queue, 1);
  }
  // 60 wait, and one is served every 100 ms.
  const estimateMs = queue.estimateWaitMs(ticket(URGENT, "a"));
  expect(estimateMs).toBeGreaterThan(5_000);
  expect(estimateMs).toBeLessThan(7_000);
});

test("a removed request is not served", () => {
  const queue = createQueue();
  const gone = ticket(URGENT, "gone");
  queue.push(gone);
  queue.push(ticket(URGENT, "stays"));
  queue.remove(gone);
  expect(serve(queue, 2)).toEqual(["urgent stays"]);
  expect(queue.lengthOf("urgent")).toBe(0);
});

function createQueue(now = () => 0): FairQueue<QueueItem> {
  return FairQueue.create<QueueItem>({ now, order: QueueOrder.Fair });
}

function createRank(name: string, order: number, floorPercent: number): Rank {
  return { kind: ObjectKind.Rank, name, order, targetMs: 1_000, floorPercent };
}

function ticket(rank: Rank, customer: string): QueueItem {
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
