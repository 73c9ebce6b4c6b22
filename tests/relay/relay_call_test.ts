/** A call is sent as often as its kind allows, and refused truthfully. */

import { expect, test } from "vitest";
import { LossCause } from "../../src/errors.ts";
import { OrderKind } from "../../src/request/order.ts";
import { serveOrder } from "../../src/request/serve_order.ts";
import {
  answers,
  createOrder,
  createRelay,
  createServer,
  followScripts,
  hangs,
  loses,
  PLAIN,
  RecordedCaller,
  rejects,
  type Script,
} from "./scripted.ts";

const SERVERS = ["a1", "b1", "c1"].map((name) =>
  createServer(name, { service: PLAIN })
);

async function relay(kind: OrderKind, scripts: readonly Script[]) {
  const { open, targets } = followScripts(scripts);
  const caller = RecordedCaller.create();
  const order = createOrder({ kind, sendsMax: 2 });
  await serveOrder(createRelay(SERVERS).context, { order, caller, open });
  return { caller, sendings: targets.length };
}

test("an answer is passed on", async () => {
  const { caller } = await relay(OrderKind.NonIdempotent, [answers(200)]);
  expect(caller.summary).toBe("200 whole: body");
});

/** How each kind of call ends after what its server did; the refusal table. */
const CASES: readonly {
  readonly what: string;
  readonly script: Script;
  readonly nonIdempotent: string;
  readonly idempotent: string;
}[] = [
  {
    what: "no connection",
    script: loses(LossCause.Unreachable),
    nonIdempotent: "sent again",
    idempotent: "sent again",
  },
  {
    what: "the server says that it did not run it",
    script: rejects(),
    nonIdempotent: "sent again",
    idempotent: "sent again",
  },
  {
    what: "another server has the address",
    script: rejects(true),
    nonIdempotent: "sent again",
    idempotent: "sent again",
  },
  {
    what: "the connection closes after the request",
    script: loses(LossCause.Closed),
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
    [OrderKind.NonIdempotent, nonIdempotent],
    [OrderKind.Idempotent, idempotent],
  ] as const;
  for (const [kind, expected] of outcomes) {
    const { caller, sendings } = await relay(kind, [script, answers(200)]);
    const outcome = sendings === 2 ? "sent again" : caller.refusal?.type;
    expect(outcome).toBe(expected);
  }
});

test("a server's failure of a call that may not be repeated is passed on", async () => {
  const { caller, sendings } = await relay(OrderKind.NonIdempotent, [
    answers(500, "failed"),
  ]);
  expect(caller.summary).toBe("500 whole: failed");
  expect(sendings).toBe(1);
});

test("a server's failure of a call that may be repeated is tried elsewhere", async () => {
  const { caller } = await relay(OrderKind.Idempotent, [
    answers(500, "failed"),
    answers(200),
  ]);
  expect(caller.summary).toBe("200 whole: body");
});

test("when every server fails, the last failure is passed on", async () => {
  const { caller } = await relay(OrderKind.Idempotent, [
    answers(500, "first"),
    answers(500, "second"),
  ]);
  expect(caller.summary).toBe("500 whole: second");
});
