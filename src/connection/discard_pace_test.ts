/** What a server reads of bodies that it does not want. */

import { createServer, type RequestListener, type Server } from "node:http";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { CallerConnections } from "./caller_connections.ts";
import { guardDoor } from "./guarded_door.ts";
import { listen } from "./http_server.ts";

const HOST = "127.0.0.1";
const CALLERS = 20;
/** Longer than a refused connection lingers, in ms. */
const LINGER_MS = 2_500;
const MB = 1_048_576;
const PIECE = Buffer.alloc(65_536, "a");

let server: Server;
let callers: Socket[];

afterEach(() => {
  for (const caller of callers) caller.destroy();
  server.closeAllConnections();
  server.close();
});

/** Has callers send bodies that are refused; resolves with what was read. */
async function readBytes(
  limit: (server: Server) => void,
  refuse: RequestListener,
): Promise<number> {
  const sockets: Socket[] = [];
  server = createServer(refuse);
  server.on("connection", (socket: Socket) => sockets.push(socket));
  limit(server);
  const port = await listen(server, HOST, 0);
  callers = Array.from({ length: CALLERS }, () => openCaller(port));
  await sleep(LINGER_MS);
  return sockets.reduce((sum, { bytesRead }) => sum + bytesRead, 0);
}

/** Sends a body without end, as fast as it is read. */
function openCaller(port: number): Socket {
  // It goes on after the server has ended its sending direction.
  const caller = connect({ port, host: HOST, allowHalfOpen: true });
  caller.on("error", () => caller.destroy());
  caller.resume();
  caller.write(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n",
  );
  const send = () => {
    while (!caller.destroyed && caller.write(PIECE));
  };
  caller.on("drain", send);
  send();
  return caller;
}

test("refused callers that send on are read at a pace for all together", async () => {
  const bytes = await readBytes(
    (http) =>
      CallerConnections.create({ server: http, now: () => performance.now() }),
    (_, response) => response.writeHead(404, { connection: "close" }).end(),
  );

  expect(bytes / MB).toBeLessThan(100);
});

test("a door that reads no bodies reads none after the response either", async () => {
  const bytes = await readBytes(
    (http) => guardDoor(http, { connectionsMax: CALLERS }),
    (_, response) => response.end(),
  );

  expect(bytes / MB).toBeLessThan(10);
});
