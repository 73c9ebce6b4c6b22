/** A call is sent as often as its kind allows, and refused truthfully. */

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

/** Part of the true speed at which a test's clock runs behind the timers. */
const SLOW_CLOCK = 0.9;
/** How long a server that said it is full gets nothing, in ms. */
const FULL_MS = 50;

async function relay(
  kind: RequestKind,
  scripts: readonly ServerScript[],
  {
    core = createRelay(SERVERS),
    order = createRequest({ kind, maxAttempts: 2 }),
  } = {},
) {
  const { open, targets } = createScriptedOpener(scripts);
  const caller = RecordedCaller.create();
  await serveRequest(core.context, { request: order, caller, open });
  return { caller, sendings: targets.length };
}

test("an answer is passed on", async () => {
  const { caller } = await relay(RequestKind.NonIdempotent, [responds(200)]);
  expect(caller.summary).toBe("200 whole: body");
});

/** How each kind of call ends after what its server did; the refusal table. */
const CASES: readonly {
  readonly what: string;
  readonly script: ServerScript;
  readonly nonIdempotent: string;
  readonly idempotent: string;
}[] = [
  {
    what: "no connection",
    script: failsWith(FailureCause.Unreachable),
    nonIdempotent: "sent again",
    idempotent: "sent again",
  },
  {
    what: "the server says that it did not run it",
    script: reportsNotRun(),
    nonIdempotent: "sent again",
    idempotent: "sent again",
  },
  {
    what: "another server has the address",
    script: reportsNotRun(true),
    nonIdempotent: "sent again",
    idempotent: "sent again",
  },
  {
    what: "the connection closes after the request",
    script: failsWith(FailureCause.Closed),
    nonIdempotent: "outcome_unknown",
    idempotent: "sent again",
  },
  {
    what: "the server hangs",
    script: hangs(),
    nonIdempotent: "outcome_unknown",
    idempotent: "sent again",
  },
];

test.for(CASES)("$what", async ({ script, nonIdempotent, idempotent }) => {
  const outcomes = [
    [RequestKind.NonIdempotent, nonIdempotent],
    [RequestKind.Idempotent, idempotent],
  ] as const;
  for (const [kind, expected] of outcomes) {
    const { caller, sendings } = await relay(kind, [script, responds(200)]);
    const outcome = sendings === 2 ? "sent again" : caller.refusal?.type;
    expect(outcome).toBe(expected);
  }
});

test("a server's failure of a call that may not be repeated is passed on", async () => {
  const { caller, sendings } = await relay(RequestKind.NonIdempotent, [
    responds(500, "failed"),
  ]);
  expect(caller.summary).toBe("500 whole: failed");
  expect(sendings).toBe(1);
});

test("a server's failure of a call that may be repeated is tried elsewhere", async () => {
  const { caller } = await relay(RequestKind.Idempotent, [
    responds(500, "failed"),
    responds(200),
  ]);
  expect(caller.summary).toBe("200 whole: body");
});

test("a call whose time is up is not sent again, though the clock is behind the timer", async () => {
  const startMs = performance.now();
  const now = () => startMs + (performance.now() - startMs) * SLOW_CLOCK;
  const kind = RequestKind.Idempotent;
  const { sendings } = await relay(kind, [hangs(), hangs()], {
    core: createRelay(SERVERS, { now }),
    order: createRequest({ kind, routeDeadlineMs: startMs + 300 }),
  });
  expect(sendings).toBe(1);
});

/** A process's clock that runs with the timers, or behind them. */
const CLOCKS = [
  { clock: "an exact clock", rate: 1 },
  { clock: "a slow clock", rate: SLOW_CLOCK },
];

test.for(CLOCKS)(
  "a call goes again to the only server once that has room, by $clock",
  async ({ rate }) => {
    const startMs = performance.now();
    const now = () => startMs + (performance.now() - startMs) * rate;
    const core = createRelay(SERVERS.slice(0, 1), { now });
    const { caller, sendings } = await relay(
      RequestKind.NonIdempotent,
      [reportsNotRun(), reportsNotRun(), responds(200)],
      { core },
    );
    expect(caller.summary).toBe("200 whole: body");
    expect(sendings).toBe(3);
    expect(performance.now() - startMs).toBeGreaterThan(2 * FULL_MS - 10);
  },
);

test("the only server is not given up for the time that its answer takes", async () => {
  const order = createRequest({
    kind: RequestKind.Idempotent,
    routeDeadlineMs: performance.now() + 1_200,
  });
  const { sendings } = await relay(
    RequestKind.Idempotent,
    [hangs(), hangs()],
    { core: createRelay(SERVERS.slice(0, 1)), order },
  );
  expect(sendings).toBe(1);
});

test("a caller that comes back when its servers are full is refused at once", async () => {
  const core = createRelay(SERVERS.slice(0, 1));
  await relay(RequestKind.NonIdempotent, [reportsNotRun(), responds(200)], {
    core,
  });
  const nowMs = performance.now();
  const { caller, sendings } = await relay(RequestKind.NonIdempotent, [], {
    core,
    order: createRequest({
      kind: RequestKind.NonIdempotent,
      callerDeadlineMs: nowMs + 1_500,
    }),
  });
  expect(caller.refusal?.type).toBe("not_run");
  expect(caller.refusal?.retryAfterS).toBeGreaterThan(0);
  expect(sendings).toBe(0);
  expect(performance.now() - nowMs).toBeLessThan(100);
});

test("when every server fails, the last failure is passed on", async () => {
  const { caller } = await relay(RequestKind.Idempotent, [
    responds(500, "first"),
    responds(500, "second"),
  ]);
  expect(caller.summary).toBe("500 whole: second");
});
