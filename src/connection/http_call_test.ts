/** Calls end for any bytes that arrive in place of a response. */

import { Agent } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "vitest";
import {
  BUFFERED_MAX_BYTES,
  endlessBodies,
  endlessFraming,
  writeEndlessResponse,
} from "../../tests/endless_responses.ts";
import { RawServer } from "../../tests/raw_server.ts";
import { ResponseBuffers } from "./response_buffers.ts";
import { callHttp, type HttpCall } from "./http_call.ts";

const TIMEOUT_MS = 5_000;
const BODY_MAX_BYTES = 100_000;

/** Calls a server that answers with `respond`; returns the outcome. */
async function callAnsweredBy(
  respond: (socket: Socket) => void,
  changes: Partial<HttpCall> = {},
): Promise<string> {
  const server = await RawServer.create((socket) => {
    socket.once("data", () => respond(socket));
  });
  try {
    const response = await callHttp({
      address: server.address,
      method: "GET",
      path: "/",
      timeoutMs: TIMEOUT_MS,
      ...changes,
    });
    return `${response.status} ${response.body}`;
  } catch (error) {
    return `failed: ${error}`;
  } finally {
    server.close();
  }
}

test.for(endlessFraming(""))(
  "a response with $name without end fails the call at once",
  async (endless) => {
    let socket: Socket | undefined;
    const startMs = performance.now();
    const outcome = await callAnsweredBy((opened) => {
      socket = opened;
      writeEndlessResponse(opened, endless);
    });
    expect(outcome).toMatch(/^failed/);
    expect(performance.now() - startMs).toBeLessThan(TIMEOUT_MS / 2);
    expect(socket?.bytesWritten).toBeLessThan(BUFFERED_MAX_BYTES);
  },
);

test.for(endlessBodies(""))(
  "a response with $name without end fails the call at its limit",
  async (endless) => {
    let socket: Socket | undefined;
    const outcome = await callAnsweredBy((opened) => {
      socket = opened;
      writeEndlessResponse(opened, endless);
    }, { bodyMaxBytes: BODY_MAX_BYTES });
    expect(outcome).toMatch(`exceeds ${BODY_MAX_BYTES} bytes`);
    expect(socket?.bytesWritten).toBeLessThan(BUFFERED_MAX_BYTES);
  },
);

test("a large response within the limits is returned whole", async () => {
  const length = 64_000_000;
  const limits = { responseMaxBytes: length, totalMaxBytes: length };
  const outcome = await callAnsweredBy((socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n\r\n`);
    socket.write(Buffer.alloc(length, "x"));
  }, { buffers: ResponseBuffers.create(limits), timeoutMs: 20_000 });
  expect(outcome.length).toBe("200 ".length + length);
});

test("the length that a response to HEAD states is not limited", async () => {
  const outcome = await callAnsweredBy((socket) => {
    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n");
  }, { method: "HEAD" });
  expect(outcome).toBe("200 ");
});

const EXTRA = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";

/** Calls twice on kept connections; the second call is answered "own". */
async function callTwice(
  respondFirst: (socket: Socket) => void,
  { pauseMs, timeoutMs }: {
    readonly pauseMs: number;
    readonly timeoutMs: number;
  },
) {
  let callCount = 0;
  const server = await RawServer.create((socket) => {
    socket.on("data", () => {
      callCount++;
      if (callCount === 1) return respondFirst(socket);
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
    });
  });
  const agent = new Agent({ keepAlive: true });
  const call = async () => {
    const { address } = server;
    const target = { address, method: "GET", path: "/", agent };
    try {
      return (await callHttp({ ...target, timeoutMs })).body.toString();
    } catch {
      return "failed";
    }
  };
  const first = await call();
  await sleep(pauseMs);
  const second = await call();
  agent.destroy();
  server.close();
  return { first, second, connections: server.connectionCount };
}

const FIRST = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";

test("a kept connection serves the next call", async () => {
  const outcome = await callTwice(
    (socket) => socket.write(FIRST),
    { pauseMs: 20, timeoutMs: 500 },
  );
  expect(outcome).toEqual({ first: "first", second: "own", connections: 1 });
});

test.for(
  [
    ["a response that comes twice", (socket: Socket) => {
      socket.write(FIRST + EXTRA);
    }],
    ["an extra response while no call waits", (socket: Socket) => {
      socket.write(FIRST);
      setTimeout(() => socket.write(EXTRA), 20);
    }],
    ["half a response while no call waits", (socket: Socket) => {
      socket.write(FIRST);
      setTimeout(() => socket.write(EXTRA.slice(0, -2)), 20);
    }],
    ["other bytes while no call waits", (socket: Socket) => {
      socket.write(FIRST);
      setTimeout(() => socket.write("\r\n"), 20);
    }],
  ] as const,
)("%s ends the connection", async ([, respondFirst]) => {
  const outcome = await callTwice(
    respondFirst,
    { pauseMs: 100, timeoutMs: 500 },
  );
  expect(outcome).toEqual({ first: "first", second: "own", connections: 2 });
});

test("an extra response that has arrived unread is not taken for the next", async () => {
  let accepted: Socket | undefined;
  let callCount = 0;
  const server = await RawServer.create((socket) => {
    accepted ??= socket;
    socket.on("data", () => {
      callCount++;
      socket.write(callCount === 1 ? FIRST : FIRST.replace("first", "other"));
    });
  });
  const agent = new Agent({ keepAlive: true });
  const call = { address: server.address, method: "GET", path: "/", agent };
  await callHttp({ ...call, timeoutMs: TIMEOUT_MS });
  await sleep(20);
  accepted?.write(EXTRA);
  // Nothing is read meanwhile.
  const endMs = performance.now() + 20;
  while (performance.now() < endMs);
  const { body } = await callHttp({ ...call, timeoutMs: TIMEOUT_MS });
  expect(body.toString()).toBe("other");
  expect(server.connectionCount).toBe(2);
  agent.destroy();
  server.close();
});

test("a response after its call's timeout does not reach the next", async () => {
  const outcome = await callTwice(
    (socket) => setTimeout(() => socket.write(EXTRA), 150),
    { pauseMs: 0, timeoutMs: 100 },
  );
  expect(outcome).toEqual({ first: "failed", second: "own", connections: 2 });
});

test("a response that switches protocols fails the call", async () => {
  const startMs = performance.now();
  const outcome = await callAnsweredBy((socket) => {
    socket.write(
      "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    );
  });
  expect(outcome).toMatch(/^failed/);
  expect(performance.now() - startMs).toBeLessThan(TIMEOUT_MS / 2);
}, TIMEOUT_MS);

test("a response followed by other bytes is complete", async () => {
  const outcome = await callAnsweredBy((socket) => {
    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokgarbage");
  });
  expect(outcome).toBe("200 ok");
});
