/** A stream reaches its caller once and whole, whatever its servers do. */

import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import type { ServerReport } from "../../src/connection/backend_report.ts";
import { FailureCause } from "../../src/errors.ts";
import { ServerFailure } from "../../src/process/server_ejection.ts";
import type { KvCopyRequest } from "../../src/request/kv_copy_manager.ts";
import { serveRequest } from "../../src/request/serve_request.ts";
import {
  createRelay,
  createRequest,
  createScriptedOpener,
  createServer,
  failsWith,
  hangs,
  RecordedCaller,
  reportsNotRun,
  sendsEvents,
  type ServerScript,
} from "./scripted.ts";

const SERVERS = ["a1", "b1", "c1"].map((name) => createServer(name));

/** Part of the true speed at which a test's clock runs behind the timers. */
const SLOW_CLOCK = 0.9;
/** What a sound server reports that knows nothing of a run. */
const UNKNOWN_RUN: ServerReport = {
  startedMs: 1,
  waiting: 0,
  prefilling: 1,
  runs: new Map(),
};
/** Reads no prompt and answers nobody. */
const IDLE: ServerReport = { ...UNKNOWN_RUN, prefilling: 0 };

async function relay(
  scripts: readonly ServerScript[],
  {
    order = createRequest(),
    core = createRelay(SERVERS),
    caller = RecordedCaller.create(),
  } = {},
) {
  const { open, targets } = createScriptedOpener(scripts);
  await serveRequest(core.context, { request: order, caller, open });
  return { caller, targets };
}

test("a whole stream is passed on", async () => {
  const { caller } = await relay([sendsEvents(1, 3, "whole")]);
  expect(caller.summary).toBe("200 whole: 1 2 3 ");
});

test("a cut stream goes on from the copy, without the unfinished event", async () => {
  const { caller, targets } = await relay([
    sendsEvents(1, 3, "cut"),
    sendsEvents(4, 5, "whole"),
  ]);
  expect(caller.summary).toBe("200 whole: 1 2 3 4 5 ");
  const [first, second] = targets;
  expect(second?.server.name).toBe(first?.backup?.name);
  expect(second?.server.zone).not.toBe(first?.server.zone);
  expect(second?.copy?.server).toBe(first?.backup);
  expect(second?.lastEventId).toBe("3");
});

test("without its copy a stream is read again elsewhere", async () => {
  const { caller, targets } = await relay([
    sendsEvents(1, 2, "cut"),
    reportsNotRun(),
    sendsEvents(3, 4, "whole"),
  ]);
  expect(caller.summary).toBe("200 whole: 1 2 3 4 ");
  expect(targets.map(({ copy }) => copy !== undefined))
    .toEqual([false, true, false]);
});

test("when the server of the copy is lost, another copy is made and used", async () => {
  const wishes: KvCopyRequest[] = [];
  const core = createRelay(SERVERS, {
    copyKvCache: (wish) => {
      wishes.push(wish);
      return Promise.resolve(`handle-${wishes.length}`);
    },
  });
  const loseCopyThenCut: ServerScript = async (target) => {
    const answer = await sendsEvents(1, 2, "cut")(target);
    return {
      ...answer,
      body: async function* () {
        for await (const piece of answer.body()) {
          yield piece;
          core.servers.eject(
            target.backup?.name ?? "",
            ServerFailure.Unreachable,
          );
          await sleep(400);
        }
      },
    };
  };
  const { caller, targets } = await relay(
    [loseCopyThenCut, sendsEvents(3, 4, "whole")],
    { core },
  );
  expect(caller.summary).toBe("200 whole: 1 2 3 4 ");
  const [first, second] = targets;
  expect(wishes[0]?.source).toBe(first?.server);
  expect(wishes[0]?.target).not.toBe(first?.backup);
  expect(second?.server).toBe(wishes[0]?.target);
  expect(second?.copy?.snapshot?.handle).toBe(`handle-${wishes.length}`);
});

test("a server that is leaving gets no stream, not even to its copy", async () => {
  const core = createRelay(SERVERS);
  const leaveThenCut: ServerScript = (target) => {
    const { backup } = target;
    if (backup !== undefined) core.servers.set({ ...backup, isLeaving: true });
    return sendsEvents(1, 2, "cut")(target);
  };
  const { caller, targets } = await relay(
    [leaveThenCut, sendsEvents(3, 3, "whole")],
    { core },
  );
  expect(caller.summary).toBe("200 whole: 1 2 3 ");
  expect(targets[1]?.server.name).not.toBe(targets[0]?.backup?.name);
});

test("a silent server that gives no report is given up", async () => {
  const { caller } = await relay([
    sendsEvents(1, 2, "silent"),
    sendsEvents(3, 3, "whole"),
  ]);
  expect(caller.summary).toBe("200 whole: 1 2 3 ");
});

test("a silent server that reports the run is not given up", async () => {
  const report: ServerReport = {
    startedMs: 1,
    waiting: 0,
    prefilling: 0,
    runs: new Map([["request-1", { events: 2 }]]),
  };
  const core = createRelay(SERVERS, {
    fetchReport: () => Promise.resolve(report),
  });
  const caller = RecordedCaller.create();
  const order = createRequest();
  setTimeout(() => caller.disconnect(), 1_000);
  const { targets } = await relay([sendsEvents(1, 2, "silent")], {
    core,
    order,
    caller,
  });
  expect(targets.length).toBe(1);
});

test("a stream that may not be resumed is broken off, not restarted", async () => {
  const { caller, targets } = await relay([sendsEvents(1, 2, "cut")], {
    order: createRequest({ isResumable: false }),
  });
  expect(caller.summary).toBe("200 broken off: 1 2 ");
  expect(targets.length).toBe(1);
});

test("a stream that may not be resumed and may have run is not refused as not run", async () => {
  const { caller } = await relay([failsWith(FailureCause.Closed)], {
    order: createRequest({ isResumable: false }),
  });
  expect(caller.refusal?.type).toBe("outcome_unknown");
});

test("a stream that no server took is refused as not run, with a time to return", async () => {
  const full = Array.from({ length: 8 }, () => reportsNotRun());
  const { caller } = await relay(full);
  expect(caller.refusal?.type).toBe("not_run");
  expect(caller.refusal?.retryAfterS).toBeGreaterThan(0);
});

test("a stream ends at its time limit, also while its server hangs", async () => {
  const nowMs = performance.now();
  const report: ServerReport = {
    startedMs: 1,
    waiting: 1,
    prefilling: undefined,
    runs: undefined,
  };
  const { caller } = await relay([hangs()], {
    order: createRequest({ routeDeadlineMs: nowMs + 300 }),
    core: createRelay(SERVERS, {
      fetchReport: () => Promise.resolve(report),
    }),
  });
  expect(caller.refusal?.type).toBe("outcome_unknown");
  expect(performance.now() - nowMs).toBeLessThan(600);
});

test("a stream whose time is up is not sent again, though the clock is behind the timer", async () => {
  const startMs = performance.now();
  const now = () => startMs + (performance.now() - startMs) * SLOW_CLOCK;
  const core = createRelay(SERVERS, {
    now,
    fetchReport: () => Promise.resolve(UNKNOWN_RUN),
  });
  const order = createRequest({ routeDeadlineMs: startMs + 300 });
  const { caller, targets } = await relay([hangs(), hangs()], { core, order });
  expect(caller.refusal?.type).toBe("outcome_unknown");
  expect(targets.length).toBe(1);
});

test("the end of a stream's time says nothing against its server", async () => {
  const [server] = SERVERS.slice(0, 1);
  const core = createRelay(SERVERS.slice(0, 1), {
    fetchReport: () => Promise.resolve(UNKNOWN_RUN),
  });
  const order = createRequest({ routeDeadlineMs: performance.now() + 300 });
  await relay([hangs()], { core, order });
  expect(core.servers.isUsable(server?.name ?? "")).toBe(true);
});

test("others are told at once where a stream goes, so that they go elsewhere", async () => {
  let told = 0;
  const core = createRelay(SERVERS, { onStreamPlaced: () => told++ });
  await relay([sendsEvents(1, 2, "whole")], { core });
  expect(told).toBe(1);
});

test("a run that never begins is given up, though its server is sound", async () => {
  const core = createRelay(SERVERS, {
    fetchReport: () => Promise.resolve(UNKNOWN_RUN),
  });
  const order = createRequest({
    promptTokens: 500,
    callerDeadlineMs: performance.now() + 6_000,
    routeDeadlineMs: performance.now() + 6_000,
  });
  const { caller, targets } = await relay(
    [hangs(), sendsEvents(1, 2, "whole")],
    { core, order },
  );
  expect(caller.summary).toBe("200 whole: 1 2 ");
  expect(targets.length).toBe(2);
});

/** The server of `SERVERS` as it was listed, which is idle now. */
const SOUND = { fetchReport: () => Promise.resolve(IDLE) };

test("a stream whose answer a living server lost goes there once more, where its prompt was read", async () => {
  const core = createRelay(SERVERS, SOUND);
  const { caller, targets } = await relay(
    [
      failsWith(FailureCause.Closed),
      failsWith(FailureCause.Closed),
      sendsEvents(1, 2, "whole"),
    ],
    { core, order: createRequest({ promptTokens: 0 }) },
  );
  expect(caller.summary).toBe("200 whole: 1 2 ");
  const [first, second, third] = targets.map(({ server }) => server.name);
  expect(second).toBe(first);
  expect(third).not.toBe(first);
});

test("a stream that may not be sent again is refused at once, whatever its server reports", async () => {
  const core = createRelay(SERVERS, {
    fetchReport: () => new Promise(() => {}),
  });
  const order = createRequest({ isResumable: false, promptTokens: 0 });
  const served = relay([failsWith(FailureCause.Closed)], { core, order });
  const ended = await Promise.race([served, sleep(100)]);
  expect(ended?.caller.refusal?.type).toBe("outcome_unknown");
});

test("a stream does not go back to a server that was restarted", async () => {
  const core = createRelay(SERVERS, {
    fetchReport: () => Promise.resolve({ ...IDLE, startedMs: 2 }),
  });
  const { targets } = await relay(
    [failsWith(FailureCause.Closed), sendsEvents(1, 2, "whole")],
    { core, order: createRequest({ promptTokens: 0 }) },
  );
  const [first, second] = targets.map(({ server }) => server.name);
  expect(second).not.toBe(first);
});

test("streams that wait do not all go to the first server that returns", async () => {
  const core = createRelay([]);
  const { open, targets } = createScriptedOpener(
    Array.from({ length: 5 }, hangs),
  );
  const callers = Array.from({ length: 5 }, RecordedCaller.create);
  const served = callers.map((caller) =>
    serveRequest(core.context, { request: createRequest(), caller, open })
  );
  const [first, second] = SERVERS;
  if (first !== undefined) core.servers.set(first);
  await sleep(10);
  expect(targets.length).toBe(2);
  if (second !== undefined) core.servers.set(second);
  await sleep(10);
  expect(targets.map(({ server }) => server.name))
    .toEqual(["a1", "a1", "b1", "b1"]);
  for (const caller of callers) caller.disconnect();
  await Promise.allSettled(served);
});

test("a run that an idle server lost is given up long before its prompt would be read", async () => {
  const startMs = performance.now();
  const core = createRelay(SERVERS, {
    fetchReport: () => Promise.resolve(IDLE),
  });
  const order = createRequest({
    promptTokens: 5_000,
    callerDeadlineMs: startMs + 10_000,
    routeDeadlineMs: startMs + 10_000,
  });
  const { caller, targets } = await relay(
    [hangs(), sendsEvents(1, 2, "whole")],
    { core, order },
  );
  expect(caller.summary).toBe("200 whole: 1 2 ");
  expect(targets.length).toBe(2);
  expect(performance.now() - startMs).toBeLessThan(1_500);
});

test("a run is not given up for the time that its prompt takes", async () => {
  const core = createRelay(SERVERS, {
    fetchReport: () => Promise.resolve(UNKNOWN_RUN),
  });
  const order = createRequest({
    promptTokens: 5_000,
    callerDeadlineMs: performance.now() + 10_000,
    routeDeadlineMs: performance.now() + 10_000,
  });
  const caller = RecordedCaller.create();
  setTimeout(() => caller.disconnect(), 3_500);
  const { targets } = await relay([hangs()], { core, order, caller });
  expect(targets.length).toBe(1);
});
