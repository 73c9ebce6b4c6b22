/**
 * Stand-in for a runner, after PROTOCOL.md. It records each request that it
 * begins to run; `answer` may be replaced by a case.
 */

import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** Starts a runner; it is registered by the case. */
export async function startRunner(
  { id, host, service, zone = "morava-a", slots = 64, workMs = 20, answer },
) {
  const runs = [];
  const born = Date.now();
  let stamps = 0;
  let open = 0;
  /** Runs under way. */
  const active = new Set();
  const runner = {
    id,
    runs,
    /** Bytes of ordinary answers; a case may change it. */
    text: "x".repeat(800),
    answer,
  };
  const serve = async (request, response) => {
    const { headers, method, url } = request;
    if (url === "/healthz") {
      response.writeHead(200, { "X-Instance-Id": id });
      return response.end();
    }
    if (url.startsWith("/v1/report")) {
      const text = JSON.stringify({
        stage: "both",
        models: [{ name: "m", version: 1, adapters: [] }],
        busy: false,
        sequence: 0,
        waiting: 0,
        running: open,
        kvUsed: 0,
        kvTotal: 55_000,
        handles: 0,
        born,
        state: "ready",
        runs: [...active].filter(({ events }) => events > 0)
          .map(({ requestId, events }) => [requestId, 400, events, 5]),
      });
      response.writeHead(200, {
        "Content-Type": "application/json",
        "Content-Length": Buffer.byteLength(text),
      });
      return response.end(text);
    }
    const requestId = headers["x-request-id"];
    const refuse = (status) => {
      response.writeHead(status, {
        "X-Not-Executed": "1",
        ...requestId !== undefined && { "X-Request-Id": requestId },
        "Content-Length": "0",
      });
      response.end();
    };
    const expected = headers["x-expect-instance"];
    if (expected !== undefined && expected !== id) return refuse(421);
    if (requestId === undefined) return refuse(400);
    if (open >= slots) return refuse(503);
    open++;
    response.once("close", () => open--);
    const run = { requestId, method, url, headers, body: "", events: 0 };
    active.add(run);
    response.once("close", () => active.delete(run));
    const pieces = [];
    for await (const piece of request) pieces.push(piece);
    run.body = Buffer.concat(pieces).toString("latin1");
    runs.push(run);
    const head = {
      "X-Request-Id": requestId,
      "X-Server-Stamp": `${id}.${++stamps}`,
    };
    if (runner.answer !== undefined) {
      return await runner.answer({ run, request, response, head });
    }
    await sleep(workMs);
    if (response.destroyed) return;
    response.writeHead(200, {
      ...head,
      "Content-Type": "text/plain",
      "Content-Length": runner.text.length,
    });
    response.end(runner.text);
    run.answered = true;
  };
  const server = createServer(
    { maxHeaderSize: 65_536 },
    (request, response) => {
      serve(request, response).catch(() => response.destroy());
    },
  );
  // A runner reads all fields of a head.
  server.maxHeadersCount = 0;
  await new Promise((resolve) => server.listen(0, host, resolve));
  runner.address = `${host}:${server.address().port}`;
  runner.spec = {
    service,
    address: runner.address,
    zone,
    version: "1",
    slots,
    state: "ready",
    coldRemainingMs: 0,
    sequence: 1,
    born,
  };
  runner.close = () => {
    server.close();
    server.closeAllConnections();
  };
  return runner;
}
