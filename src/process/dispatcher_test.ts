/** When a waiting request is refused. */

import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { expect, test } from "vitest";
import { RawServer } from "../../tests/raw_server.ts";
import {
  type BackendServer,
  Fencing,
  ObjectKind,
  type Rank,
} from "../version/types.ts";
import { Dispatcher } from "./dispatcher.ts";
import { QueueOrder, Routing } from "./settings.ts";

const WAIT_MS = 20;
const RANK: Rank = {
  kind: ObjectKind.Rank,
  name: "urgent",
  order: 0,
  targetMs: WAIT_MS,
  floorPercent: 0,
};
const SERVER: BackendServer = {
  kind: ObjectKind.BackendServer,
  name: "e1",
  address: "127.0.0.1:1",
  zone: "a",
  service: "s",
  slots: 4,
  fencing: Fencing.Ignored,
};

/** Creates a dispatcher whose server has room once `hasRoom` returns true. */
function createDispatcher(hasRoom: () => boolean): Dispatcher {
  return Dispatcher.create({
    now: () => performance.now(),
    log: () => undefined,
    queueMaxLength: 10,
    policy: {
      queueOrder: QueueOrder.Fair,
      routing: Routing.LeastLoaded,
      preempts: false,
      refusesEarly: false,
    },
    pool: {
      choose: () => hasRoom() ? SERVER : undefined,
      begin: () => undefined,
      end: () => undefined,
    },
  });
}

function reserve(dispatcher: Dispatcher) {
  return dispatcher.reserve({
    rank: RANK,
    customer: "alpha",
    weight: 1,
    cost: 1,
    service: "s",
    modelVersion: "",
    excluded: new Set(),
    preferred: "",
    isSuspect: false,
    waitMs: WAIT_MS,
    signal: new AbortController().signal,
    isResumed: false,
  });
}

function blockEventLoop(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs) continue;
}

test("a request is not refused while a sign of room waits to be read", async () => {
  const accepted: Socket[] = [];
  const peer = await RawServer.create((socket) => accepted.push(socket));
  const connection = connect(Number(peer.address.split(":")[1]), "127.0.0.1");
  await once(connection, "connect");
  await expect.poll(() => accepted.length).toBe(1);
  let hasRoom = false;
  const dispatcher = createDispatcher(() => hasRoom);
  connection.on("data", () => {
    hasRoom = true;
    dispatcher.pump();
  });
  const reservation = reserve(dispatcher);
  accepted[0]?.write("room");
  blockEventLoop(2 * WAIT_MS);
  expect((await reservation).server).toBe(SERVER);
  connection.destroy();
  peer.close();
});

test("a request that no server has room for in time is refused", async () => {
  const reservation = reserve(createDispatcher(() => false));
  await expect(reservation).rejects.toMatchObject({
    type: "not_run",
    message: "no backend server had room in time",
  });
});
