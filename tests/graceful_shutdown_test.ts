/**
 * Tests promise 7: a planned stop of an instance aborts no request.
 */

import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { LocalCluster, waitFor } from "../bench/local_cluster.ts";
import { GENERATION_SERVICE } from "../bench/local_deployment.ts";
import { LOG_EVENTS } from "../src/process/log_events.ts";
import { formatEntryRequest, SERVICE_PATH } from "./raw_entry_request.ts";
import { RawCaller } from "./scripted_platform.ts";
import { Transcript } from "./transcript.ts";

const LONG_REQUEST = {
  prompt: "survey of the Thimi school roof",
  maxTokens: 100,
};
const SHORT_REQUEST = { prompt: "roof explanation", maxTokens: 5 };
const ENGINE_SWITCHES = { tokenMs: 20 };

test("SIGTERM under load with long streams", async () => {
  const cluster = await LocalCluster.create({
    entries: 2,
    services: 1,
    slots: 32,
    engineSwitches: ENGINE_SWITCHES,
    stop: ["notice_ms = 1000"],
  });
  try {
    const transcript = Transcript.create(
      "SIGTERM under load with long streams",
    );
    const [entry] = cluster.entries;
    if (entry === undefined) throw new Error("no entry, expected 2");
    const streams = Array.from({ length: 20 }, (_, index) => {
      const request = {
        ...LONG_REQUEST,
        prompt: `${LONG_REQUEST.prompt} ${index}`,
      };
      return { request, caller: cluster.complete(request) };
    });
    await cluster.service().control({ delayMs: 1_500 });
    const booking = cluster.callService({
      entry,
      method: "POST",
      path: "/bookings",
      body: JSON.stringify({ key: "stop" }),
      idempotencyKey: "stop",
    });
    for (const { caller } of streams) await caller.waitForTokens(5);
    entry.signal("SIGTERM");
    await waitFor("the entry is not ready", async () => {
      const { ready } = await entry.get<{ ready: boolean }>("/readyz");
      return !ready;
    });
    transcript.record("after SIGTERM: readyz says not ready");
    const lateCaller = cluster.complete(SHORT_REQUEST);
    await transcript.recordResponse(
      "new connection before the notice",
      lateCaller,
      SHORT_REQUEST,
    );
    let complete = 0;
    for (const { caller } of streams) {
      const { outcome } = await caller.ended;
      if (outcome === "done" && caller.tokenCount === 100) complete++;
    }
    transcript.record(
      `long streams complete: ${complete} of ${streams.length}`,
    );
    transcript.record(`booking in progress: ${(await booking).status}`);
    transcript.record(`exit code: ${await entry.exited}`);
    const otherCaller = cluster.complete({
      ...SHORT_REQUEST,
      entry: cluster.entry(1),
    });
    await transcript.recordResponse("other entry", otherCaller, SHORT_REQUEST);
    expect(complete).toBe(streams.length);
    await transcript.matchGoldenFile("planned_stop/under_load");
  } finally {
    await cluster.close();
  }
});

test("the deadline or a second SIGTERM ends the graceful shutdown", async () => {
  const cluster = await LocalCluster.create({
    entries: 2,
    engineSwitches: ENGINE_SWITCHES,
    stop: ["notice_ms = 100", "deadline_ms = 600"],
  });
  try {
    const transcript = Transcript.create("deadline and second SIGTERM");
    const callers = cluster.entries.map((entry) =>
      cluster.complete({ ...LONG_REQUEST, maxTokens: 1_000, entry })
    );
    for (const caller of callers) await caller.waitForTokens(5);
    cluster.entry(0).signal("SIGTERM");
    transcript.record(`deadline: exit code ${await cluster.entry(0).exited}`);
    transcript.record(`  its stream: ${(await callers[0]?.ended)?.outcome}`);
    cluster.entry(1).signal("SIGTERM");
    await waitFor(
      "the shutdown is requested",
      () =>
        cluster.entry(1).logLines().some(({ event }) =>
          event === LOG_EVENTS.shutdownRequested.number
        ),
    );
    cluster.entry(1).signal("SIGTERM");
    transcript.record(
      `second signal: exit code ${await cluster.entry(1).exited}`,
    );
    transcript.record(`  its stream: ${(await callers[1]?.ended)?.outcome}`);
    await transcript.matchGoldenFile("planned_stop/forced");
  } finally {
    await cluster.close();
  }
});

test("a kept connection is answered with 503 once the notice has passed", async () => {
  const cluster = await LocalCluster.create({
    engineSwitches: ENGINE_SWITCHES,
    stop: ["notice_ms = 300"],
  });
  try {
    const stream = cluster.complete(LONG_REQUEST);
    await stream.waitForTokens(5);
    const socket = connect(cluster.entry().port, "127.0.0.1");
    let received = "";
    socket.on("data", (data) => received += data.toString("latin1"));
    socket.on("error", () => undefined);
    socket.write("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    await waitFor("the first response", () => received.includes("\r\n\r\n"));
    cluster.entry().signal("SIGTERM");
    await sleep(800);
    received = "";
    socket.write(
      "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
    );
    await sleep(300);
    expect(received).toMatch(/ 503 [^]*connection: close[^]*"not_run"/i);
    expect((await stream.ended).outcome).toBe("done");
  } finally {
    await cluster.close();
  }
});

test("a shutdown answers all requests that a caller has pipelined to an entry", async () => {
  const cluster = await LocalCluster.create({
    engines: 0,
    services: 1,
    stop: ["notice_ms = 2000"],
  });
  try {
    await cluster.service().control({ delayMs: 300 });
    const caller = RawCaller.create(cluster.entry().port);
    await sleep(100);
    cluster.entry().signal("SIGTERM");
    await sleep(200);
    const paths = ["/first", "/second"];
    const requests = paths.map((path) =>
      formatEntryRequest(`GET ${SERVICE_PATH}${path}`)
    );
    caller.socket.write(requests.join(""));
    await expect.poll(() => caller.isClosed, { timeout: 5_000 }).toBe(true);
    expect(caller.received.match(/HTTP\/1\.1 200 /g)?.length).toBe(2);
    expect(caller.received.match(/connection: close/gi)?.length).toBe(1);
  } finally {
    await cluster.close();
  }
});

test("a refused body that was read to its end does not close an entry's connection on the request behind it", async () => {
  const cluster = await LocalCluster.create({
    engines: 0,
    services: 1,
    limits: ["body_bytes = 1000"],
  });
  try {
    await cluster.service().control({ delayMs: 300 });
    const caller = RawCaller.create(cluster.entry().port);
    const requests = [
      formatEntryRequest(`GET ${SERVICE_PATH}/first`),
      formatEntryRequest(`POST ${SERVICE_PATH}/second`, "x".repeat(2_000)),
      formatEntryRequest(`GET ${SERVICE_PATH}/third`),
    ];
    caller.socket.write(requests.join(""));
    await expect.poll(() => caller.received.match(/HTTP\/1\.1 \d+/g), {
      timeout: 5_000,
    }).toEqual(["HTTP/1.1 200", "HTTP/1.1 413", "HTTP/1.1 200"]);
  } finally {
    await cluster.close();
  }
});

test("a request after the response that announced the end of its connection does not run", async () => {
  const cluster = await LocalCluster.create({
    services: 1,
    engineSwitches: ENGINE_SWITCHES,
    stop: ["notice_ms = 2000"],
  });
  try {
    const caller = RawCaller.create(cluster.entry().port);
    await sleep(100);
    cluster.entry().signal("SIGTERM");
    await sleep(200);
    const fields = { model: GENERATION_SERVICE, prompt: "roof", stream: true };
    const body = JSON.stringify({ ...fields, max_tokens: 50 });
    caller.socket.write(formatEntryRequest("POST /v1/completions", body));
    await waitFor("the stream begins", () => caller.received.includes("data:"));
    caller.socket.write(formatEntryRequest(`GET ${SERVICE_PATH}/late`));
    expect(await cluster.entry().exited).toBe(0);
    expect(caller.received).toMatch(/connection: close[^]*\[DONE\]/i);
    const { calls } = await cluster.service().get<{ calls: number }>(
      "/standin/counts",
    );
    expect(calls).toBe(0);
  } finally {
    await cluster.close();
  }
});

test("a response that is written in a shutdown announces the end of its connection", async () => {
  const cluster = await LocalCluster.create({
    engines: 0,
    services: 1,
    stop: ["notice_ms = 2000"],
  });
  try {
    await cluster.service().control({ delayMs: 600 });
    const caller = RawCaller.create(cluster.entry().port);
    caller.socket.write(formatEntryRequest(`GET ${SERVICE_PATH}/early`));
    await sleep(200);
    cluster.entry().signal("SIGTERM");
    await expect.poll(() => caller.received, { timeout: 5_000 })
      .toMatch(/^HTTP\/1\.1 200 /);
    expect(caller.received).toMatch(/\r\nconnection: close\r\n/i);
  } finally {
    await cluster.close();
  }
});
