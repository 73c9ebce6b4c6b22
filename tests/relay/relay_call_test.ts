/**
 * Tests that a call is retried only as its kind allows, and that a refusal
 * states correctly whether it may have run.
 */

import { expect, test } from "vitest";
import { FailureCause } from "../../src/errors.ts";
import { RequestKind } from "../../src/request/proxy_request.ts";
import { serveRequest } from "../../src/request/serve_request.ts";
import {
  createRelay,
  createRequest,
  createScriptedOpener,
  createServer,
  failsWith,
  hangs,
  PLAIN_SERVICE,
  RecordedCaller,
  reportsNotRun,
  responds,
  type ServerScript,
} from "./scripted.ts";

const SERVERS = ["a1", "b1", "c1"].map((name) =>
  createServer(name, { service: PLAIN_SERVICE })
);

/** Rate of a process clock that lags behind the timers; 1 is real time. */
const SLOW_CLOCK_RATE = 0.9;
/** How long a server that rejected a call gets no other one, in ms. */
const FULL_SERVER_PAUSE_MS = 50;

async function serveScripts(
  kind: RequestKind,
  scripts: readonly ServerScript[],
  {
    relay = createRelay(SERVERS),
    request = createRequest({ kind, maxAttempts: 2 }),
  } = {},
) {
  const { open, targets } = createScriptedOpener(scripts);
  const caller = RecordedCaller.create();
  await serveRequest(relay.context, { request, caller, open });
  return { caller, attempts: targets.length };
}

test("a response is forwarded to the caller", async () => {
  const { caller } = await serveScripts(RequestKind.NonIdempotent, [
    responds(200),
  ]);
  expect(caller.summary).toBe("200 whole: body");
});

/** Outcome of each kind of call for each failure of its first attempt. */
const CASES: readonly {
  readonly failure: string;
  readonly script: ServerScript;
  readonly nonIdempotent: string;
  readonly idempotent: string;
}[] = [
  {
    failure: "no connection can be made",
    script: failsWith(FailureCause.Unreachable),
    nonIdempotent: "retried",
    idempotent: "retried",
  },
  {
    failure: "the server reports that it did not run the call",
    script: reportsNotRun(),
    nonIdempotent: "retried",
    idempotent: "retried",
  },
  {
    failure: "another server now has the address",
    script: reportsNotRun(true),
    nonIdempotent: "retried",
    idempotent: "retried",
  },
  {
    failure: "the connection closes after the request was sent",
    script: failsWith(FailureCause.Closed),
    nonIdempotent: "outcome_unknown",
    idempotent: "retried",
  },
  {
    failure: "the server hangs",
    script: hangs(),
    nonIdempotent: "outcome_unknown",
    idempotent: "retried",
  },
];

test.for(CASES)("$failure", async ({ script, nonIdempotent, idempotent }) => {
  const outcomes = [
    [RequestKind.NonIdempotent, nonIdempotent],
    [RequestKind.Idempotent, idempotent],
  ] as const;
  for (const [kind, expected] of outcomes) {
    const { caller, attempts } = await serveScripts(kind, [
      script,
      responds(200),
    ]);
    const outcome = attempts === 2 ? "retried" : caller.refusal?.type;
    expect(outcome).toBe(expected);
  }
});

test("a 500 response to a non-idempotent call is forwarded", async () => {
  const { caller, attempts } = await serveScripts(RequestKind.NonIdempotent, [
    responds(500, "failed"),
  ]);
  expect(caller.summary).toBe("500 whole: failed");
  expect(attempts).toBe(1);
});

test("a 500 response to an idempotent call is retried on another server", async () => {
  const { caller } = await serveScripts(RequestKind.Idempotent, [
    responds(500, "failed"),
    responds(200),
  ]);
  expect(caller.summary).toBe("200 whole: body");
});

test("a call past its deadline is not retried, even if the clock lags behind the timer", async () => {
  const startMs = performance.now();
  const now = () => startMs + (performance.now() - startMs) * SLOW_CLOCK_RATE;
  const kind = RequestKind.Idempotent;
  const { attempts } = await serveScripts(kind, [hangs(), hangs()], {
    relay: createRelay(SERVERS, { now }),
    request: createRequest({ kind, routeDeadlineMs: startMs + 300 }),
  });
  expect(attempts).toBe(1);
});

/** Process clocks that run at the rate of the timers or slower. */
const CLOCKS = [
  { clock: "an exact clock", rate: 1 },
  { clock: "a slow clock", rate: SLOW_CLOCK_RATE },
];

test.for(CLOCKS)(
  "a rejected call is retried on the only server once it has room: $clock",
  async ({ rate }) => {
    const startMs = performance.now();
    const now = () => startMs + (performance.now() - startMs) * rate;
    const relay = createRelay(SERVERS.slice(0, 1), { now });
    const { caller, attempts } = await serveScripts(
      RequestKind.NonIdempotent,
      [reportsNotRun(), reportsNotRun(), responds(200)],
      { relay },
    );
    expect(caller.summary).toBe("200 whole: body");
    expect(attempts).toBe(3);
    expect(performance.now() - startMs).toBeGreaterThan(
      2 * FULL_SERVER_PAUSE_MS - 10,
    );
  },
);

test("a slow call is not abandoned when there is no other server", async () => {
  const request = createRequest({
    kind: RequestKind.Idempotent,
    routeDeadlineMs: performance.now() + 1_200,
  });
  const { attempts } = await serveScripts(
    RequestKind.Idempotent,
    [hangs(), hangs()],
    { relay: createRelay(SERVERS.slice(0, 1)), request },
  );
  expect(attempts).toBe(1);
});

test("a caller that retries while the servers are full is refused at once", async () => {
  const relay = createRelay(SERVERS.slice(0, 1));
  await serveScripts(RequestKind.NonIdempotent, [
    reportsNotRun(),
    responds(200),
  ], {
    relay,
  });
  const nowMs = performance.now();
  const { caller, attempts } = await serveScripts(
    RequestKind.NonIdempotent,
    [],
    {
      relay,
      request: createRequest({
        kind: RequestKind.NonIdempotent,
        callerDeadlineMs: nowMs + 1_500,
      }),
    },
  );
  expect(caller.refusal?.type).toBe("not_run");
  expect(caller.refusal?.retryAfterS).toBeGreaterThan(0);
  expect(attempts).toBe(0);
  expect(performance.now() - nowMs).toBeLessThan(100);
});

test("when every server responds with 500, the last response is forwarded", async () => {
  const { caller } = await serveScripts(RequestKind.Idempotent, [
    responds(500, "first"),
    responds(500, "second"),
  ]);
  expect(caller.summary).toBe("500 whole: second");
});
