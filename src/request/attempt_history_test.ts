/** Tests whether a request may be retried, and which error refuses it. */

import fc from "fast-check";
import { expect, test } from "vitest";
import { createRequest } from "../../tests/relay/scripted.ts";
import { RequestErrorType } from "../errors.ts";
import { AttemptProgress } from "./attempt_progress.ts";
import { type ProxyRequest, RequestKind } from "./proxy_request.ts";
import { AttemptHistory } from "./attempt_history.ts";

const MAX_ATTEMPTS = 3;
/** Attempts beyond the route's limit, for those that did not run. */
const EXTRA_NOT_RUN_ATTEMPTS = 3;

const progress = fc.constantFrom(...Object.values(AttemptProgress));
const kind = fc.record({
  kind: fc.constantFrom(...Object.values(RequestKind)),
  isResumable: fc.boolean(),
});

function createHistory(
  changes: Partial<ProxyRequest>,
  progresses: readonly AttemptProgress[],
): AttemptHistory {
  const history = AttemptHistory.create(
    createRequest({ maxAttempts: MAX_ATTEMPTS, ...changes }),
  );
  progresses.forEach((progress, index) => {
    history.add(`server-${index}`, 0).progress = progress;
  });
  return history;
}

function mayHaveRun(progress: AttemptProgress): boolean {
  return progress === AttemptProgress.Sent ||
    progress === AttemptProgress.KnownRun;
}

test("a request is refused as not run only if no attempt may have run", () => {
  fc.assert(
    fc.property(
      kind,
      fc.array(progress, { maxLength: 8 }),
      (changes, progresses) => {
        const { type } = createHistory(changes, progresses).refusal("gone", 0);
        expect(type).toBe(
          progresses.some(mayHaveRun)
            ? RequestErrorType.OutcomeUnknown
            : RequestErrorType.NotRun,
        );
      },
    ),
  );
});

test("a request that must run at most once is not retried if it may have run", () => {
  const runOnceKind = fc.constantFrom(
    { kind: RequestKind.NonIdempotent, isResumable: false },
    { kind: RequestKind.Stream, isResumable: false },
  );
  fc.assert(
    fc.property(
      runOnceKind,
      fc.array(progress, { maxLength: 8 }),
      (changes, progresses) => {
        fc.pre(progresses.some(mayHaveRun));
        expect(createHistory(changes, progresses).canRetry).toBe(false);
      },
    ),
  );
});

test("the attempts that may have run never exceed the route's limit", () => {
  fc.assert(
    fc.property(
      kind,
      fc.array(progress, { maxLength: 12 }),
      (changes, progresses) => {
        const history = createHistory(changes, []);
        for (const next of progresses) {
          if (history.count > 0 && !history.canRetry) break;
          history.add("server", 0).progress = next;
        }
        expect(history.mayHaveRunCount).toBeLessThanOrEqual(MAX_ATTEMPTS);
        expect(history.count).toBeLessThanOrEqual(
          MAX_ATTEMPTS + EXTRA_NOT_RUN_ATTEMPTS,
        );
      },
    ),
  );
});

test("the suggested retry delay ends before the request's deadline", () => {
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 30_000 }), (nowMs) => {
      const request = createRequest({
        receivedMs: 0,
        callerDeadlineMs: 25_000,
        routeDeadlineMs: 20_000,
      });
      const refusal = AttemptHistory.create(request).refusal("full", nowMs);
      const remainingS = Math.max(0, 20_000 - nowMs) / 1_000;
      expect(refusal.retryAfterS).toBeGreaterThan(0);
      expect(refusal.retryAfterS).toBeLessThanOrEqual(
        Math.max(0.02, remainingS / 3),
      );
    }),
  );
});

test("a stream that has begun is not aborted because servers crashed before they responded", () => {
  const history = AttemptHistory.create(createRequest({
    kind: RequestKind.Stream,
    isResumable: true,
    maxAttempts: MAX_ATTEMPTS,
  }));
  const addCrashed = () => {
    const record = history.add("server", 0);
    record.progress = AttemptProgress.Sent;
    record.hasCrashed = true;
    return record;
  };
  for (let attempt = 0; attempt < 2 * MAX_ATTEMPTS; attempt++) addCrashed();
  expect(history.canResume).toBe(true);
  expect(history.canRetry).toBe(false);
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    addCrashed().respondedMs = attempt;
  }
  expect(history.canResume).toBe(false);
});
