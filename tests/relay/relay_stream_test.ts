/** A stream reaches its caller once and whole, whatever its servers do. */

import { expect, test } from "vitest";
import type { ServerReport } from "../../src/connection/backend_report.ts";
import { LossCause } from "../../src/errors.ts";
import { serveOrder } from "../../src/request/serve_order.ts";
import {
  createOrder,
  createRelay,
  createServer,
  events,
  followScripts,
  hangs,
  loses,
  RecordedCaller,
  rejects,
  type Script,
} from "./scripted.ts";

const SERVERS = ["a1", "b1", "c1"].map((name) => createServer(name));

async function relay(
  scripts: readonly Script[],
  {
    order = createOrder(),
    core = createRelay(SERVERS),
    caller = RecordedCaller.create(),
  } = {},
) {
  const { open, targets } = followScripts(scripts);
  await serveOrder(core.context, { order, caller, open });
  return { caller, targets };
}

test("a whole stream is passed on", async () => {
  const { caller } = await relay([events(1, 3, "whole")]);
  expect(caller.summary).toBe("200 whole: 1 2 3 ");
});

test("a cut stream goes on from the copy, without the unfinished event", async () => {
  const { caller, targets } = await relay([
    events(1, 3, "cut"),
    events(4, 5, "whole"),
  ]);
  expect(caller.summary).toBe("200 whole: 1 2 3 4 5 ");
  const [first, second] = targets;
  expect(second?.server.name).toBe(first?.backup?.name);
  expect(second?.server.zone).not.toBe(first?.server.zone);
  expect(second?.fromCopy).toBe(true);
  expect(second?.resumeAfter).toBe("3");
});

test("without its copy a stream is read again elsewhere", async () => {
  const { caller, targets } = await relay([
    events(1, 2, "cut"),
    rejects(),
    events(3, 4, "whole"),
  ]);
  expect(caller.summary).toBe("200 whole: 1 2 3 4 ");
  expect(targets.map(({ fromCopy }) => fromCopy)).toEqual([false, true, false]);
});

test("a server that is leaving gets no stream, not even to its copy", async () => {
  const core = createRelay(SERVERS);
  const leaveThenCut: Script = (target) => {
    const { backup } = target;
    if (backup !== undefined) core.servers.set({ ...backup, isLeaving: true });
    return events(1, 2, "cut")(target);
  };
  const { caller, targets } = await relay(
    [leaveThenCut, events(3, 3, "whole")],
    { core },
  );
  expect(caller.summary).toBe("200 whole: 1 2 3 ");
  expect(targets[1]?.server.name).not.toBe(targets[0]?.backup?.name);
});

test("a silent server that gives no report is given up", async () => {
  const { caller } = await relay([
    events(1, 2, "silent"),
    events(3, 3, "whole"),
  ]);
  expect(caller.summary).toBe("200 whole: 1 2 3 ");
});

test("a silent server that reports the run is not given up", async () => {
  const report: ServerReport = {
    startedMs: 1,
    waiting: 0,
    runs: new Map([["request-1", { events: 2 }]]),
  };
  const core = createRelay(SERVERS, () => Promise.resolve(report));
  const caller = RecordedCaller.create();
  const order = createOrder();
  setTimeout(() => caller.leave(), 1_000);
  const { targets } = await relay([events(1, 2, "silent")], {
    core,
    order,
    caller,
  });
  expect(targets.length).toBe(1);
});

test("a stream that may not be resumed is broken off, not restarted", async () => {
  const { caller, targets } = await relay([events(1, 2, "cut")], {
    order: createOrder({ isResumable: false }),
  });
  expect(caller.summary).toBe("200 broken off: 1 2 ");
  expect(targets.length).toBe(1);
});

test("a stream that may not be resumed and may have run is not refused as not run", async () => {
  const { caller } = await relay([loses(LossCause.Closed)], {
    order: createOrder({ isResumable: false }),
  });
  expect(caller.refusal?.type).toBe("outcome_unknown");
});

test("a stream that no server took is refused as not run, with a time to return", async () => {
  const full = Array.from({ length: 8 }, () => rejects());
  const { caller } = await relay(full);
  expect(caller.refusal?.type).toBe("not_run");
  expect(caller.refusal?.retryAfterS).toBeGreaterThan(0);
});

test("a stream ends at its time limit, also while its server hangs", async () => {
  const nowMs = performance.now();
  const report: ServerReport = { startedMs: 1, waiting: 1, runs: undefined };
  const { caller } = await relay([hangs()], {
    order: createOrder({ limitMs: nowMs + 300 }),
    core: createRelay(SERVERS, () => Promise.resolve(report)),
  });
  expect(caller.refusal?.type).toBe("outcome_unknown");
  expect(performance.now() - nowMs).toBeLessThan(600);
});
