/** Tests that a stream leaves a server that sends bytes but no new event. */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import { abortError } from "../../src/connection/backend_request.ts";
import type { ServerReport } from "../../src/connection/backend_report.ts";
import type { ResponseWriter } from "../../src/connection/response_writer.ts";
import { serveRequest } from "../../src/request/serve_request.ts";
import {
  createRelay,
  createRequest,
  createScriptedOpener,
  createServer,
  RecordedCaller,
  sendsEvents,
  type ServerScript,
} from "./scripted.ts";

const SERVERS = ["a1", "b1", "c1"].map((name) => createServer(name));
/** Bytes that a test's server sends at most. */
const SENT_MAX_BYTES = 8_000_000;
/** Report by which the run has made events that did not arrive. */
const AHEAD_REPORT: ServerReport = {
  startedMs: 1,
  waiting: 0,
  prefilling: 0,
  runs: new Map([["request-1", { events: 20 }]]),
};

/** A server that sends two events, and then `unit` again and again. */
function sendsEndlessly(
  unit: string,
  { intervalMs, onSent }: {
    readonly intervalMs: number;
    readonly onSent: (bytes: number) => void;
  },
): ServerScript {
  return async (target) => {
    const response = await sendsEvents(1, 2, "silent")(target);
    const piece = Buffer.from(
      intervalMs > 0 ? unit : unit.repeat(4_096 / unit.length),
    );
    return {
      ...response,
      body: async function* () {
        yield Buffer.from("id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        for (let sent = 0; sent < SENT_MAX_BYTES; sent += piece.length) {
          await sleep(intervalMs);
          if (target.signal.aborted) throw abortError(target.signal);
          onSent(piece.length);
          yield piece;
        }
      },
    };
  };
}

async function serveEndlessly(
  unit: string,
  { intervalMs = 0, report }: {
    readonly intervalMs?: number;
    readonly report?: ServerReport;
  } = {},
) {
  let sentBytes = 0;
  const caller = RecordedCaller.create();
  const endless = sendsEndlessly(unit, {
    intervalMs,
    onSent: (bytes) => sentBytes += bytes,
  });
  const { open, targets } = createScriptedOpener([
    endless,
    sendsEvents(3, 4, "whole"),
  ]);
  const relay = createRelay(
    SERVERS,
    report === undefined ? {} : { fetchReport: () => Promise.resolve(report) },
  );
  const startMs = performance.now();
  const request = createRequest();
  await serveRequest(relay.context, { request, caller, open });
  const elapsedMs = performance.now() - startMs;
  return { caller, relay, targets, sentBytes, elapsedMs };
}

test.for([
  ["a line without end", "x"],
  ["lines that complete no event", "data: x\n"],
  ["comments", ": x\n\n"],
  ["events without an id", "data: x\n\n"],
  ["the same event", "id: 2\ndata: x\n\n"],
])("after %s the stream resumes on another server", async ([, unit = ""]) => {
  const { caller, relay, targets, sentBytes, elapsedMs } = await serveEndlessly(
    unit,
  );
  expect(caller.summary).toBe("200 whole: 1 2 3 4 ");
  const [first, second] = targets;
  expect(second?.lastEventId).toBe("2");
  expect(relay.servers.isUsable(first?.server.name ?? "")).toBe(false);
  expect(sentBytes).toBeLessThan(1_100_000);
  expect(elapsedMs).toBeLessThan(2_000);
});

test("a response after an unframed stream does not reach its caller", async () => {
  const extra = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  const { open, targets } = createScriptedOpener([
    async (target) => {
      const response = await sendsEvents(1, 2, "whole")(target);
      return {
        ...response,
        body: async function* () {
          yield* response.body();
          yield Buffer.from(extra);
        },
      };
    },
    sendsEvents(3, 2, "whole"),
  ]);
  let written = "";
  const recorded = RecordedCaller.create();
  const caller: ResponseWriter = {
    ...recorded,
    signal: recorded.signal,
    write: (bytes) => {
      written += bytes.toString();
      return Promise.resolve();
    },
  };
  const relay = createRelay(SERVERS);
  await serveRequest(relay.context, { request: createRequest(), caller, open });
  expect(written).toBe("id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
  expect(recorded.ending).toBe("whole");
  expect(targets.at(-1)?.lastEventId).toBe("2");
});

test.for([
  ["bytes of no event", "x"],
  ["comments", ": x\n\n"],
  ["the same event", "id: 2\ndata: x\n\n"],
])("%s now and then do not keep a stalled stream", async ([, unit = ""]) => {
  const { caller, targets, elapsedMs } = await serveEndlessly(unit, {
    intervalMs: 50,
    report: AHEAD_REPORT,
  });
  expect(caller.summary).toBe("200 whole: 1 2 3 4 ");
  expect(targets).toHaveLength(2);
  expect(elapsedMs).toBeLessThan(1_500);
});
