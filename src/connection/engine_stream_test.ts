/** Which bytes of a model engine count as events of its stream. */

import type { Socket } from "node:net";
import { expect, test } from "vitest";
import {
  BUFFERED_MAX_BYTES,
  endlessFraming,
  writeEndlessResponse,
} from "../../tests/endless_responses.ts";
import { RawServer } from "../../tests/raw_server.ts";
import { AttemptError } from "../errors.ts";
import type { StreamId } from "../ids.ts";
import type { StreamEvent } from "./engine_protocol.ts";
import { CancelResult, cancelStream, readStream } from "./engine_stream.ts";

const HEAD = "HTTP/1.1 200 OK\r\nX-Model-Version: v1\r\n" +
  "Content-Type: text/event-stream\r\n\r\n";
const TOKEN = `data: {"p":0,"t":"one"}\n\n`;

/** Runs `use` with the address of an engine that responds by `respond`. */
async function withEngine<Result>(
  respond: (socket: Socket) => void,
  use: (address: string) => Promise<Result>,
): Promise<Result> {
  const engine = await RawServer.create((socket) => {
    socket.once("data", () => respond(socket));
  });
  try {
    return await use(engine.address);
  } finally {
    engine.close();
  }
}

/** Reads a stream to its end; returns its events and how it ended. */
function readAll(respond: (socket: Socket) => void) {
  return withEngine(respond, async (address) => {
    const events: StreamEvent[] = [];
    try {
      const stream = readStream({
        address,
        modelVersion: "v1",
        source: { stream: "s" as StreamId, from: 0 },
        firstTokenStallMs: 400,
        firstTokenLimitMs: 400,
        tokenStallMs: 300,
        signal: new AbortController().signal,
      });
      for await (const batch of stream) events.push(...batch);
    } catch (error) {
      if (!(error instanceof AttemptError)) throw error;
      return { events, cause: error.failureCause, detail: error.message };
    }
    return { events, cause: undefined, detail: "" };
  });
}

test.for(endlessFraming("X-Model-Version: v1\r\n"))(
  "a response with $name without end ends the attempt at once",
  async (endless) => {
    let socket: Socket | undefined;
    const startMs = performance.now();
    const { cause } = await readAll((opened) => {
      socket = opened;
      writeEndlessResponse(opened, endless);
    });
    expect(cause).toBe("closed");
    expect(performance.now() - startMs).toBeLessThan(2_000);
    expect(socket?.bytesWritten).toBeLessThan(BUFFERED_MAX_BYTES);
  },
);

test.for([
  ["a line without end", "x"],
  ["lines that complete no event", "data: x\n"],
  ["lines without a known field", "x: y\n"],
  ["blank lines", "\n"],
])("after %s the attempt ends", async ([, unit = ""]) => {
  let socket: Socket | undefined;
  const { events, cause, detail } = await readAll((opened) => {
    socket = opened;
    writeEndlessResponse(opened, { name: "", start: `${HEAD}${TOKEN}`, unit });
  });
  expect(events).toEqual([{ p: 0, t: "one" }]);
  expect(cause).toBe("closed");
  expect(detail).toContain("no event");
  expect(socket?.bytesWritten).toBeLessThan(BUFFERED_MAX_BYTES);
});

test("bytes of no event now and then do not keep a stalled stream", async () => {
  const startMs = performance.now();
  const { events, cause } = await readAll((socket) => {
    socket.write(`${HEAD}${TOKEN}`);
    const timer = setInterval(() => socket.write("x"), 50);
    const end = setTimeout(() => socket.end(), 4_000);
    socket.once("close", () => {
      clearInterval(timer);
      clearTimeout(end);
    });
  });
  expect(events).toHaveLength(1);
  expect(cause).toBe("stalled");
  expect(performance.now() - startMs).toBeLessThan(2_000);
});

test("comments keep a stream that has no event for a while", async () => {
  const { events } = await readAll((socket) => {
    socket.write(`${HEAD}${TOKEN}`);
    const timer = setInterval(() => socket.write(": waiting\n\n"), 50);
    setTimeout(() => {
      clearInterval(timer);
      socket.end(`data: {"p":1,"t":"two"}\n\n`);
    }, 900);
  });
  expect(events.map(({ t }) => t)).toEqual(["one", "two"]);
});

test.for([
  ["data that is not JSON", "data: <html>\n\n"],
  ["data that is no object", "data: null\n\n"],
  ["a position that is no number", `data: {"p":"0","t":"x"}\n\n`],
  ["a text that is no string", `data: {"p":1,"t":{}}\n\n`],
  ["an end that is no string", `data: {"p":1,"end":7}\n\n`],
])("%s ends the attempt after the last complete event", async ([, bytes]) => {
  const { events, cause } = await readAll((socket) => {
    socket.write(`${HEAD}${TOKEN}${bytes}`);
  });
  expect(events).toEqual([{ p: 0, t: "one" }]);
  expect(cause).toBe("closed");
});

test.for([
  ["{}", CancelResult.NoResponse],
  ["null", CancelResult.NoResponse],
  [`{"ran":"no"}`, CancelResult.NoResponse],
  [`{"ran":false}`, CancelResult.NeverRan],
  [`{"ran":true}`, CancelResult.Cancelled],
])("a cancellation answered %s counts as %s", async ([body = "", result]) => {
  const respond = (socket: Socket) => {
    socket.end(
      `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
  };
  const actual = await withEngine(
    respond,
    (address) => cancelStream(address, "s" as StreamId),
  );
  expect(actual).toBe(result);
});
