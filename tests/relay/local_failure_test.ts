/** Tests that a failure of the entry itself is not attributed to a server. */

import { expect, test } from "vitest";
import { connectFailureOf } from "../../platform/backend_call.ts";
import { AttemptError, FailureCause } from "../../src/errors.ts";
import { RequestKind } from "../../src/request/proxy_request.ts";
import { serveRequest } from "../../src/request/serve_request.ts";
import {
  createRelay,
  createRequest,
  createScriptedOpener,
  createServer,
  PLAIN_SERVICE,
  RecordedCaller,
  responds,
} from "./scripted.ts";

test.for(["EMFILE", "ENFILE", "EADDRNOTAVAIL", "ENOBUFS", "ENOMEM"])(
  "a connection that fails with %s does not make its server unreachable",
  (code) => {
    const error = Object.assign(new Error(code), { code });
    expect(connectFailureOf(error)).toBe(FailureCause.NoResources);
  },
);

test.for(["ECONNREFUSED", "EHOSTUNREACH", "ECONNRESET"])(
  "a connection that fails with %s makes its server unreachable",
  (code) => {
    const error = Object.assign(new Error(code), { code });
    expect(connectFailureOf(error)).toBe(FailureCause.Unreachable);
  },
);

test.for([RequestKind.Idempotent, RequestKind.NonIdempotent])(
  "a server is not ejected because the entry has no descriptor for a call: %s",
  async (kind) => {
    const relay = createRelay(
      ["a1", "b1"].map((name) =>
        createServer(name, { service: PLAIN_SERVICE })
      ),
    );
    const { open, targets } = createScriptedOpener([
      () => Promise.reject(new AttemptError(FailureCause.NoResources)),
      responds(200),
    ]);
    const caller = RecordedCaller.create();
    const request = createRequest({ kind });
    await serveRequest(relay.context, { request, caller, open });
    expect(caller.status).toBe(200);
    for (const { server } of targets) {
      expect(relay.servers.isUsable(server.name)).toBe(true);
    }
    expect(relay.servers.unreachableServers()).toEqual([]);
  },
);
