/** Guards the error type of a generation whose attempts all stalled. */

import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { expect, test } from "vitest";
import { ATTEMPT_FAILURES_MAX } from "../constants.ts";
import { type RequestError, RequestErrorType } from "../errors.ts";
import type { RequestId } from "../ids.ts";
import type { EntryContext } from "../process/entry_context.ts";
import type { CompletionRequest } from "./completion_request.ts";
import { Generation } from "./generation.ts";

const HOST = "127.0.0.1";

/** Returns the parts of an entry's context that a generation uses. */
function createContext(address: string): EntryContext {
  const context = {
    settings: {
      cursorKey: "key",
      firstTokenStallTimeoutMs: 10,
      firstTokenTimeoutMs: 1_000,
      tokenStallTimeoutMs: 1_000,
      resumeTimeoutMs: 10_000,
    },
    log: () => undefined,
    metrics: { attemptFailures: { inc: () => undefined } },
    now: () => performance.now(),
    pauseDetector: { ready: () => Promise.resolve() },
    suspicions: { isRefused: () => false, blameScore: () => 0 },
    serverPool: { canServe: () => true, eject: () => undefined },
    shutdownAdmission: { rejection: () => undefined },
    dispatcher: {
      reserve: () =>
        Promise.resolve({
          server: { name: "engine-1", address },
          release: () => undefined,
        }),
    },
  };
  return context as unknown as EntryContext;
}

const REQUEST = {
  customer: { name: "alpha", weight: 1 },
  service: { name: "engines" },
  model: { name: "model", version: "1" },
  rank: { name: "urgent", order: 0, targetMs: 10_000 },
  prompt: "prompt",
  maxTokens: 10,
  isStreamed: true,
  fingerprint: "fingerprint",
  resumption: undefined,
} as unknown as CompletionRequest;

test("past the limit of failed attempts the last stream is cancelled before the error reports whether it ran", async () => {
  const cancelled: string[] = [];
  // Streams never start; only the last one reports that it has run.
  const engine = createServer(({ method, url = "" }, response) => {
    if (method !== "DELETE") return;
    cancelled.push(url);
    const ran = cancelled.length > ATTEMPT_FAILURES_MAX;
    response.end(JSON.stringify({ ran }));
  });
  await new Promise<void>((resolve) => engine.listen(0, HOST, resolve));
  const { port } = engine.address() as AddressInfo;
  const generation = Generation.create(createContext(`${HOST}:${port}`), {
    requestId: "request-1" as RequestId,
    request: REQUEST,
    receivedMs: performance.now(),
    signal: new AbortController().signal,
  });
  try {
    const error: RequestError = await generation.run().next().catch((error) =>
      error
    );
    expect(error.type).toBe(RequestErrorType.Interrupted);
    expect(cancelled.length).toBe(ATTEMPT_FAILURES_MAX + 1);
  } finally {
    engine.close();
    engine.closeAllConnections();
  }
});
