/** Guards a server against blame for errors while the response is written. */

import { createServer as createHttpServer } from "node:http";
import { type AddressInfo, createServer, type Server } from "node:net";
import { expect, test } from "vitest";
import { callHttp } from "../connection/http_call.ts";
import type { EntryContext } from "../process/entry_context.ts";
import { ServiceForm } from "../version/types.ts";
import type { RequestTimes } from "./entry_admission.ts";
import { RequestEnding } from "./request_ending.ts";
import { serve } from "./routes.ts";

const HOST = "127.0.0.1";

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  return `${HOST}:${(server.address() as AddressInfo).port}`;
}

/** Returns the parts of an entry's context that a call uses. */
function createContext(
  address: string,
  onEject: (name: string) => void,
): EntryContext {
  const service = {
    name: "stock",
    rank: "urgent",
    form: ServiceForm.Plain,
    nonIdempotent: [],
    callLimitMs: 1_000,
  };
  const context = {
    settings: { bodyMaxBytes: 100 },
    log: () => undefined,
    metrics: { openRequests: { inc: () => undefined, dec: () => undefined } },
    decideClose: () => false,
    isStopping: () => false,
    now: () => performance.now(),
    shutdownAdmission: {
      rejection: () => undefined,
      whileAccepted: (_: RequestTimes, work: Promise<unknown>) => work,
    },
    callerGuard: { load: { request: () => undefined } },
    pauseDetector: { ready: () => Promise.resolve() },
    revisionStore: {
      deployment: {
        customerByKey: () => ({ name: "alpha", services: ["stock"] }),
        service: () => service,
        rank: () => ({ name: "urgent", targetMs: 1_000 }),
      },
    },
    dispatcher: {
      reserve: () =>
        Promise.resolve({
          server: { name: "stock-1", address },
          release: () => undefined,
        }),
    },
    serverPool: { eject: onEject },
  };
  return context as unknown as EntryContext;
}

test("a response that can't be written to the caller neither ejects its server nor repeats the call", async () => {
  let callCount = 0;
  const service = createServer((socket) => {
    socket.on("error", () => socket.destroy());
    socket.once("data", () => {
      callCount++;
      // Node reads this status, but does not write it.
      socket.end("HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n");
    });
  });
  const ejected: string[] = [];
  const context = createContext(
    await listen(service),
    (name) => ejected.push(name),
  );
  const entry = createHttpServer((request, response) =>
    serve(context, {
      request,
      response,
      ending: RequestEnding.create(response),
      callerLeft: new AbortController().signal,
    })
  );
  try {
    const { status } = await callHttp({
      address: await listen(entry),
      method: "GET",
      path: "/services/stock/items",
      timeoutMs: 2_000,
    });
    expect(status).toBe(502);
    expect(ejected).toEqual([]);
    expect(callCount).toBe(1);
  } finally {
    entry.close();
    service.close();
  }
});
