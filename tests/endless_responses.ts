/** Responses that never end, for tests of what a client reads of them. */

import type { Socket } from "node:net";
import { writeEndlessly } from "./raw_server.ts";

/** A response that repeats `unit` until its connection closes. */
export interface EndlessResponse {
  readonly name: string;
  readonly start: string;
  readonly unit: string;
}

/** Bytes that a server writes at most; far more than any client may read. */
const WRITTEN_MAX_BYTES = 64_000_000;
/** Bytes that the sockets of a connection buffer at most. */
export const BUFFERED_MAX_BYTES = 16_000_000;
const UNIT_BYTES = 32_768;

/** Returns responses whose head, chunks or trailers do not end. */
export function endlessFraming(headers: string): readonly EndlessResponse[] {
  const ok = `HTTP/1.1 200 OK\r\n${headers}`;
  const chunked = `${ok}Transfer-Encoding: chunked\r\n\r\n`;
  return [
    { name: "a status line", start: "HTTP/1.1 200 ", unit: "x" },
    { name: "a header name", start: ok, unit: "x" },
    { name: "a header value", start: `${ok}A: `, unit: "x" },
    { name: "headers", start: ok, unit: "a: b\r\n" },
    { name: "empty lines", start: "", unit: "\r\n" },
    {
      name: "informational responses",
      start: "",
      unit: "HTTP/1.1 102 Processing\r\n\r\n",
    },
    { name: "a chunk extension", start: `${chunked}1;`, unit: "x" },
    {
      name: "chunk extensions",
      start: chunked,
      unit: `1;${"e".repeat(8_000)}\r\nx\r\n`,
    },
    { name: "a chunk size", start: chunked, unit: "0" },
    { name: "trailers", start: `${chunked}0\r\n`, unit: "a: b\r\n" },
  ];
}

/** Returns responses whose body does not end. */
export function endlessBodies(headers: string): readonly EndlessResponse[] {
  const ok = `HTTP/1.1 200 OK\r\n${headers}`;
  return [
    { name: "no length", start: `${ok}\r\n`, unit: "x" },
    {
      name: "a huge length",
      start: `${ok}Content-Length: 99999999999\r\n\r\n`,
      unit: "x",
    },
    {
      name: "chunks",
      start: `${ok}Transfer-Encoding: chunked\r\n\r\n`,
      unit: `400\r\n${"x".repeat(0x400)}\r\n`,
    },
    {
      name: "chunks of one byte",
      start: `${ok}Transfer-Encoding: chunked\r\n\r\n`,
      unit: "1\r\nx\r\n",
    },
  ];
}

/** Writes a response until the connection closes. */
export function writeEndlessResponse(
  socket: Socket,
  { start, unit }: EndlessResponse,
): void {
  socket.write(start);
  writeEndlessly(socket, {
    unit: unit.repeat(Math.ceil(UNIT_BYTES / unit.length)),
    limitBytes: WRITTEN_MAX_BYTES,
  });
}
