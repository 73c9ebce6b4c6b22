/**
 * A model runner that crashes when it begins to write an answer on a deadly part
 * of a prompt, and is back some seconds later as a new incarnation.
 */

import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** Starts a runner that registers itself; `log` gets its crashes and arrivals. */
export async function startCrashingRunner({
  store,
  host,
  name,
  zone,
  deadly,
  backAfterMs,
  prefillMs = 60,
  events = 60,
  gapMs = 20,
  headFirst = true,
  log,
}) {
  let incarnation = 0;
  let server;
  let port = 0;
  let isClosed = false;
  let spec;
  /** Events written so far, by request. */
  const active = new Map();
  const id = () => `${name}-${incarnation}`;
  const serve = async (request, response) => {
    const { headers, url } = request;
    const requestId = headers["x-request-id"];
    const own = id();
    if (url === "/healthz" || url.startsWith("/v1/")) {
      const isReport = url.startsWith("/v1/report");
      const text = isReport
        ? JSON.stringify({
          stage: "both",
          models: [{ name: "m", version: 1, adapters: [] }],
          busy: false,
          sequence: 0,
          waiting: 0,
          running: active.size,
          kvUsed: 0,
          kvTotal: 55_000,
          handles: 0,
          born: spec.born,
          runs: [...active].filter(([, count]) => count > 0)
            .map(([run, count]) => [run, 760, count, 5]),
        })
        : "";
      response.writeHead(url === "/healthz" || isReport ? 200 : 404, {
        "X-Instance-Id": own,
        "Content-Type": "application/json",
        "Content-Length": text.length,
      });
      return response.end(text);
    }
    const expected = headers["x-expect-instance"];
    if (expected !== undefined && expected !== own) {
      response.writeHead(421, {
        "X-Request-Id": requestId,
        "X-Not-Executed": "1",
        "Content-Length": "0",
      });
      return response.end();
    }
    const parts = String(headers["x-prompt-prefix"] ?? "").split(",")
      .map((entry) => entry.split(":")[0]);
    const isDeadly = deadly !== undefined && parts.includes(deadly);
    log.arrivals.push({ atMs: performance.now(), requestId, own, parts });
    request.resume();
    active.set(requestId, 0);
    response.once("close", () => active.delete(requestId));
    await sleep(prefillMs);
    if (response.destroyed) return;
    if (isDeadly && !headFirst) return crash(own);
    response.writeHead(200, {
      "X-Request-Id": requestId,
      "X-Server-Stamp": `${own}.${requestId}`,
      "Content-Type": "text/event-stream",
    });
    response.flushHeaders();
    if (isDeadly) {
      await sleep(5);
      return crash(own);
    }
    const first = Number(headers["last-event-id"] ?? 0) + 1;
    for (let event = first; event <= events && !response.destroyed; event++) {
      response.write(`id: ${event}\ndata: piece ${event}\n\n`);
      active.set(requestId, event);
      await sleep(gapMs);
    }
    response.end();
  };
  const open = async () => {
    incarnation++;
    spec = {
      service: "model-bojka",
      address: "",
      zone,
      version: "1",
      slots: 12,
      state: "ready",
      coldRemainingMs: 0,
      sequence: 1,
      born: Date.now(),
    };
    server = createServer((request, response) => {
      serve(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve) => server.listen(port, host, resolve));
    port = server.address().port;
    spec.address = `${host}:${port}`;
    store.write("servers", id(), spec);
  };
  const crash = async (own) => {
    if (own !== id() || isClosed || !server.listening) return;
    log.crashes.push({ atMs: performance.now(), own });
    server.close();
    server.closeAllConnections();
    await sleep(backAfterMs);
    store.remove("servers", own);
    if (!isClosed) await open();
  };
  await open();
  return {
    close: () => {
      isClosed = true;
      server.close();
      server.closeAllConnections();
    },
  };
}
