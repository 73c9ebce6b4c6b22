/** Tests that timers don't discard what arrived while the event loop was busy. */

import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { expect, test } from "vitest";
import { abortError } from "../../src/connection/backend_request.ts";
import { RequestKind } from "../../src/request/proxy_request.ts";
import { serveRequest } from "../../src/request/serve_request.ts";
import {
  createRelay,
  createRequest,
  createScriptedOpener,
  createServer as createBackendServer,
  PLAIN_SERVICE,
  RecordedCaller,
  responds,
} from "./scripted.ts";

test("a call is not sent again if its response arrived while the event loop was busy", async () => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
  const [accepted] = await once(server, "connection") as [Socket];
  accepted.on("error", () => accepted.destroy());
  const relay = createRelay(
    ["a1", "b1"].map((name) =>
      createBackendServer(name, { service: PLAIN_SERVICE })
    ),
  );
  const { open, targets } = createScriptedOpener([
    async (target) => {
      target.onSent();
      const { signal } = target;
      await once(client, "data", { signal }).catch(() => {
        throw abortError(signal);
      });
      return responds(200)(target);
    },
    responds(200),
  ]);
  const caller = RecordedCaller.create();
  const served = serveRequest(relay.context, {
    request: createRequest({ kind: RequestKind.Idempotent }),
    caller,
    open,
  });
  await expect.poll(() => targets.length).toBe(1);
  // Timers that are due after this phase run before the next read.
  setImmediate(() => {
    accepted.write("response");
    const busyUntilMs = performance.now() + 1_000;
    while (performance.now() < busyUntilMs) continue;
  });
  await served;
  client.destroy();
  server.close();
  expect(caller.status).toBe(200);
  expect(targets.length).toBe(1);
});
