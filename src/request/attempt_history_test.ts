/** What an order may still do, and what its caller is told, after its sendings. */

import fc from "fast-check";
import { expect, test } from "vitest";
import { createRequest } from "../../tests/relay/scripted.ts";
import { RequestErrorType } from "../errors.ts";
import { AttemptProgress } from "./attempt_progress.ts";
import { type ProxyRequest, RequestKind } from "./proxy_request.ts";
import { AttemptHistory } from "./attempt_history.ts";

const SENDS_MAX = 3;
/** Sendings that did not run which are made beyond the route's limit. */
const NOT_RUN_EXTRA = 3;

const progress = fc.constantFrom(...Object.values(AttemptProgress));
const kind = fc.record({
  kind: fc.constantFrom(...Object.values(RequestKind)),
  isResumable: fc.boolean(),
});

function follow(
  changes: Partial<ProxyRequest>,
  reached: readonly AttemptProgress[],
): AttemptHistory {
  const attempts = AttemptHistory.create(
    createRequest({ maxAttempts: SENDS_MAX, ...changes }),
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
            ? RequestErrorType.OutcomeUnknown
            : RequestErrorType.NotRun,
        );
      },
    ),
  );
});

test("what may run once is never sent again after a sending that can have run", () => {
  const once = fc.constantFrom(
    { kind: RequestKind.NonIdempotent, isResumable: false },
    { kind: RequestKind.Stream, isResumable: false },
  );
  fc.assert(
    fc.property(
      once,
      fc.array(progress, { maxLength: 8 }),
      (order, reached) => {
        fc.pre(reached.some(canHaveRun));
        expect(follow(order, reached).canRetry).toBe(false);
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
          if (attempts.count > 0 && !attempts.canRetry) break;
          attempts.add("server").progress = next;
        }
        expect(attempts.mayHaveRunCount).toBeLessThanOrEqual(SENDS_MAX);
        expect(attempts.count).toBeLessThanOrEqual(SENDS_MAX + NOT_RUN_EXTRA);
      },
    ),
  );
});

test("the wait that a refusal suggests is over before the caller is", () => {
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 30_000 }), (lateMs) => {
      const order = createRequest({
        receivedMs: 0,
        callerDeadlineMs: 25_000,
        routeDeadlineMs: 20_000,
      });
      const refusal = AttemptHistory.create(order).refusal("full", lateMs);
      const leftS = Math.max(0, 20_000 - lateMs) / 1_000;
      expect(refusal.retryAfterS).toBeGreaterThan(0);
      expect(refusal.retryAfterS).toBeLessThanOrEqual(
        Math.max(0.02, leftS / 3),
      );
    }),
  );
});
