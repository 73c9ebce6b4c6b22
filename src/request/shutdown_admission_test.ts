/** Tests which requests are sent to servers during a graceful shutdown. */

import { expect, test } from "vitest";
import { type ProxyRequest, RequestKind } from "./proxy_request.ts";
import { proxyClosingMs } from "./proxy_admission.ts";
import { ShutdownAdmission } from "./shutdown_admission.ts";

const START_MS = 1_000;
const DEADLINE_MS = 7_760;

function createRequest(kind: RequestKind): ProxyRequest {
  const deadlines = { callerDeadlineMs: 60_000, routeDeadlineMs: 60_000 };
  return { kind, receivedMs: 900, ...deadlines } as ProxyRequest;
}

const CALL = createRequest(RequestKind.NonIdempotent);
const STREAM = createRequest(RequestKind.Stream);

/** Returns an admission in a shutdown that began `elapsedMs` ago. */
function createAdmission(elapsedMs: number): ShutdownAdmission {
  let nowMs = START_MS;
  const admission = ShutdownAdmission.create({
    now: () => nowMs,
    closingMs: proxyClosingMs,
    onKindClosed: () => undefined,
  });
  admission.beginShutdown(DEADLINE_MS);
  nowMs += elapsedMs;
  return admission;
}

test("a request that could not complete before the end is refused as not run, whenever it came", () => {
  expect(() => createAdmission(4_860).admit(CALL)).toThrow("shutting down");
  expect(() => createAdmission(2_700).admit(STREAM)).toThrow("shutting down");
});

test("an accepted request is answered before the process ends", () => {
  for (const request of [CALL, STREAM]) {
    const { callerDeadlineMs } = createAdmission(1_000).admit(request);
    expect(callerDeadlineMs).toBeLessThan(START_MS + DEADLINE_MS);
    expect(callerDeadlineMs).toBeGreaterThan(START_MS + DEADLINE_MS - 500);
  }
});

test("a deadline that is set during a shutdown counts from its start, for requests that wait too", async () => {
  const admission = createAdmission(2_000);
  const waiting = admission.whileAccepted(CALL.kind, new Promise(() => {}));
  expect(admission.rejection(CALL.kind)).toBeUndefined();
  admission.setDeadline(3_000);
  await expect(waiting).rejects.toThrow("shutting down");
  expect(() => admission.admit(CALL)).toThrow("shutting down");
  admission.setDeadline(DEADLINE_MS);
  expect(admission.rejection(CALL.kind)).toBeUndefined();
});

test("a request is not limited before a shutdown", () => {
  const admission = ShutdownAdmission.create({
    now: () => START_MS,
    closingMs: proxyClosingMs,
    onKindClosed: () => undefined,
  });
  expect(admission.admit(STREAM)).toBe(STREAM);
});

test("a request that waits is refused once its kind is no longer accepted, and not before", async () => {
  const closed: boolean[] = [];
  const admission = ShutdownAdmission.create({
    now: () => performance.now(),
    closingMs: proxyClosingMs,
    onKindClosed: () =>
      closed.push(admission.rejection(RequestKind.Idempotent) !== undefined),
  });
  const never = new Promise<never>(() => undefined);
  const waiting = admission.whileAccepted(RequestKind.Idempotent, never);
  const startMs = performance.now();
  admission.beginShutdown(3_300);
  await expect(waiting).rejects.toThrow("shutting down");
  expect(performance.now() - startMs).toBeGreaterThanOrEqual(300);
  expect(closed).toContain(true);
  // One that begins to wait afterwards is refused at once.
  await expect(admission.whileAccepted(RequestKind.Idempotent, never)).rejects
    .toThrow("shutting down");
});

test("what a request waits for is passed on while its kind is accepted", async () => {
  const admission = createAdmission(1_000);
  const { Stream } = RequestKind;
  await expect(admission.whileAccepted(Stream, Promise.resolve("body")))
    .resolves.toBe("body");
  const failure = new Error("body ended early");
  await expect(admission.whileAccepted(Stream, Promise.reject(failure)))
    .rejects.toBe(failure);
});
