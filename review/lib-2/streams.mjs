/** Streams of a runner stand-in, and a client that reads a raw answer. */

import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Answers like a model runner: events with ids from 1, after `Last-Event-Id`. */
export function streamAnswer({ events, gapMs, prefillMs = 0 }) {
  return async ({ run, response, head }) => {
    await sleep(prefillMs);
    if (response.destroyed) return;
    response.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
    const first = Number(run.headers["last-event-id"] ?? 0) + 1;
    for (let id = first; id <= events && !response.destroyed; id++) {
      response.write(`id: ${id}\ndata: piece ${id} of ${run.requestId}\n\n`);
      run.events = id;
      await sleep(gapMs);
    }
    if (!response.destroyed) run.answered = true;
    response.end();
  };
}

/**
 * Opens a kept connection; `ask` sends the bytes of one request and resolves
 * with its answer, of which `isComplete` tells whether it came whole.
 */
export function keepConnection({ host, port }) {
  const socket = connect(port, host);
  let text = "";
  let wake = () => {};
  let isClosed = false;
  socket.setEncoding("latin1");
  socket.on("data", (piece) => {
    text += piece;
    wake();
  });
  socket.on("error", () => {});
  socket.once("close", () => {
    isClosed = true;
    wake();
  });
  return {
    get isClosed() {
      return isClosed;
    },
    close: () => socket.destroy(),
    ask: async (bytes, { waitMs = 15_000 } = {}) => {
      text = "";
      socket.write(bytes);
      const endMs = performance.now() + waitMs;
      while (true) {
        const answer = parseAnswer(text);
        const isOver = performance.now() >= endMs;
        if (answer.isComplete || isClosed || isOver) {
          return { ...answer, wasClosed: isClosed, isOver };
        }
        await new Promise((resolve) => {
          wake = resolve;
          setTimeout(resolve, 200).unref();
        });
      }
    },
  };
}

/** Parses as much of an answer as has arrived. */
function parseAnswer(text) {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) return { status: 0, body: "", isComplete: false };
  const head = text.slice(0, headEnd);
  const rest = text.slice(headEnd + 4);
  const status = Number(head.split(" ")[1]);
  const length = /^content-length: *(\d+)/im.exec(head)?.[1];
  if (length !== undefined) {
    const isComplete = rest.length >= Number(length);
    return { status, body: rest.slice(0, Number(length)), isComplete };
  }
  let body = "";
  let at = 0;
  while (true) {
    const lineEnd = rest.indexOf("\r\n", at);
    if (lineEnd < 0) return { status, body, isComplete: false };
    const size = parseInt(rest.slice(at, lineEnd), 16);
    const end = lineEnd + 2 + size + 2;
    if (rest.length < end) return { status, body, isComplete: false };
    if (size === 0) return { status, body, isComplete: true };
    body += rest.slice(lineEnd + 2, end - 2);
    at = end;
  }
}
