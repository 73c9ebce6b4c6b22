/** Guards the error type of a generation, and what it blames for lost servers. */

import { createServer } from "node:http";
import {
  type AddressInfo,
  createServer as createRawServer,
  type Socket,
} from "node:net";
import { expect, test } from "vitest";
import { ATTEMPT_FAILURES_MAX } from "../constants.ts";
import { type RequestError, RequestErrorType } from "../errors.ts";
import type { RequestId } from "../ids.ts";
import { CrashSuspicions } from "../process/crash_suspicions.ts";
import type { EntryContext } from "../process/entry_context.ts";
import type { CompletionRequest } from "./completion_request.ts";
import { Generation } from "./generation.ts";

const HOST = "127.0.0.1";

/** Returns the parts of an entry's context that a generation uses. */
function createContext(
  address: string,
  { firstTokenStallTimeoutMs, ...overrides }: {
    readonly firstTokenStallTimeoutMs: number;
    readonly [part: string]: unknown;
  },
): EntryContext {
  const context = {
    settings: {
      cursorKey: "key",
      firstTokenStallTimeoutMs,
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
    ...overrides,
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

function createGeneration(context: EntryContext): Generation {
  return Generation.create(context, {
    requestId: "request-1" as RequestId,
    request: REQUEST,
    receivedMs: performance.now(),
    signal: new AbortController().signal,
  });
}

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
  const address = `${HOST}:${port}`;
  const context = createContext(address, { firstTokenStallTimeoutMs: 10 });
  const generation = createGeneration(context);
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

/**
 * Starts a server that dies of its first request: the connections that its
 * kernel has accepted meanwhile are reset, later ones are refused.
 */
async function startDyingServer(acceptedMeanwhile: number) {
  let connections = 0;
  const sockets = new Set<Socket>();
  const server = createRawServer((socket) => {
    connections++;
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("data", () => socket.resetAndDestroy());
    if (connections > acceptedMeanwhile) server.close();
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `${HOST}:${port}`,
    hasRun: () => connections > 0,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

test.each([0, 1])(
  "a request that crashes servers costs two, though a dying one resets %i reattachments",
  async (acceptedMeanwhile) => {
    const servers = await Promise.all(
      Array.from({ length: 4 }, () => startDyingServer(acceptedMeanwhile)),
    );
    const context = createContext("", {
      // No attempt is silent: each connection is reset or refused.
      firstTokenStallTimeoutMs: 10_000,
      suspicions: CrashSuspicions.create({
        now: () => performance.now(),
        onRecord: () => undefined,
      }),
      serverPool: {
        canServe: () => true,
        eject: () => undefined,
        begin: () => undefined,
        end: () => undefined,
        addSuspect: () => undefined,
        removeSuspect: () => undefined,
      },
      dispatcher: {
        reserve: ({ excluded }: { readonly excluded: ReadonlySet<string> }) => {
          const at = servers.findIndex((_, at) =>
            !excluded.has(`engine-${at}`)
          );
          const { address } = servers[at] ?? { address: "" };
          return Promise.resolve({
            server: { name: `engine-${at}`, address },
            release: () => undefined,
          });
        },
      },
    });
    const generation = createGeneration(context);
    try {
      const error: RequestError = await generation.run().next()
        .catch((error) => error);
      expect(error.message).toContain("suspected of crashing");
      expect(servers.filter(({ hasRun }) => hasRun()).length).toBe(2);
    } finally {
      for (const server of servers) server.close();
    }
  },
);
