/** The client returns a result for any response of an entry. */

import { expect, test } from "vitest";
import {
  BUFFERED_MAX_BYTES,
  writeEndlessResponse,
} from "../../tests/endless_responses.ts";
import { RawServer } from "../../tests/raw_server.ts";
import type { Socket } from "node:net";
import { CompletionClient } from "./completion_client.ts";

/** Returns the outcome of a request that is answered with `respond`. */
async function outcomeOf(respond: (socket: Socket) => void): Promise<string> {
  const server = await RawServer.create((socket) => {
    socket.once("data", () => respond(socket));
  });
  const client = CompletionClient.create({
    address: server.address,
    key: "key",
    service: "s",
    prompt: "p",
    maxTokens: 1,
  });
  const { outcome } = await client.ended;
  client.close();
  server.close();
  return outcome;
}

const HEAD = "HTTP/1.1 200 OK\r\n\r\n";

test.for([
  ["an event that is not JSON", `${HEAD}data: <html>\n\n`],
  ["an event without choices", `${HEAD}data: {}\n\n`],
  ["an error without a type", `${HEAD}event: error\ndata: null\n\n`],
  ["an error response that is not JSON", "HTTP/1.1 502 Bad\r\n\r\n<html>"],
  ["an error response without an error", "HTTP/1.1 502 Bad\r\n\r\n{}"],
  [
    "a response that switches protocols",
    "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
  ],
])("%s counts as cut", async ([, bytes = ""]) => {
  expect(await outcomeOf((socket) => socket.end(bytes))).toBe("cut");
});

test.for([
  ["a stream", HEAD],
  ["an error response", "HTTP/1.1 502 Bad\r\n\r\n"],
])("%s of bytes without end counts as cut", async ([, start = ""]) => {
  let socket: Socket | undefined;
  const outcome = await outcomeOf((opened) => {
    socket = opened;
    writeEndlessResponse(opened, { name: "", start, unit: "x" });
  });
  expect(outcome).toBe("cut");
  expect(socket?.bytesWritten).toBeLessThan(BUFFERED_MAX_BYTES);
});
