/** What an order may still do, and what its caller is told, after its sendings. */

import fc from "fast-check";
import { expect, test } from "vitest";
import { createOrder } from "../../tests/relay/scripted.ts";
import { RefusalType } from "../errors.ts";
import { AttemptProgress } from "./attempt_record.ts";
import { type Order, OrderKind } from "./order.ts";
import { OrderAttempts } from "./order_attempts.ts";

const SENDS_MAX = 3;
/** Sendings that did not run which are made beyond the route's limit. */
const NOT_RUN_EXTRA = 3;

const progress = fc.constantFrom(...Object.values(AttemptProgress));
const kind = fc.record({
  kind: fc.constantFrom(...Object.values(OrderKind)),
  isResumable: fc.boolean(),
});

function follow(
  changes: Partial<Order>,
  reached: readonly AttemptProgress[],
): OrderAttempts {
  const attempts = OrderAttempts.create(
    createOrder({ sendsMax: SENDS_MAX, ...changes }),
  );
  reached.forEach((progress, at) => {
    attempts.add(`server-${at}`).progress = progress;
  });
  return attempts;
}

function canHaveRun(progress: AttemptProgress): boolean {
  return progress === AttemptProgress.Sent ||
    progress === AttemptProgress.KnownRun;
}

test("'not run' is said only when no sending can have run", () => {
  fc.assert(
    fc.property(
      kind,
      fc.array(progress, { maxLength: 8 }),
      (order, reached) => {
        const { type } = follow(order, reached).refusal("gone", 0);
        expect(type).toBe(
          reached.some(canHaveRun)
            ? RefusalType.OutcomeUnknown
            : RefusalType.NotRun,
        );
      },
    ),
  );
});

test("what may run once is never sent again after a sending that can have run", () => {
  const once = fc.constantFrom(
    { kind: OrderKind.NonIdempotent, isResumable: false },
    { kind: OrderKind.Stream, isResumable: false },
  );
  fc.assert(
    fc.property(
      once,
      fc.array(progress, { maxLength: 8 }),
      (order, reached) => {
        fc.pre(reached.some(canHaveRun));
        expect(follow(order, reached).maySendAgain).toBe(false);
      },
    ),
  );
});

test("an order is sent to no more servers that can run it than its route allows", () => {
  fc.assert(
    fc.property(
      kind,
      fc.array(progress, { maxLength: 12 }),
      (order, reached) => {
        const attempts = follow(order, []);
        for (const next of reached) {
          if (attempts.count > 0 && !attempts.maySendAgain) break;
          attempts.add("server").progress = next;
        }
        expect(attempts.ranCount).toBeLessThanOrEqual(SENDS_MAX);
        expect(attempts.count).toBeLessThanOrEqual(SENDS_MAX + NOT_RUN_EXTRA);
      },
    ),
  );
});

test("the wait that a refusal suggests is over before the caller is", () => {
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 30_000 }), (lateMs) => {
      const order = createOrder({
        receivedMs: 0,
        deadlineMs: 25_000,
        limitMs: 20_000,
      });
      const refusal = OrderAttempts.create(order).refusal("full", lateMs);
      const leftS = Math.max(0, 20_000 - lateMs) / 1_000;
      expect(refusal.retryAfterS).toBeGreaterThan(0);
      expect(refusal.retryAfterS).toBeLessThanOrEqual(
        Math.max(0.02, leftS / 3),
      );
    }),
  );
});
