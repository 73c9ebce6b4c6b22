/** Calls a backend server that writes raw bytes, for tests of its responses. */

import { type AddressInfo, createServer, type Socket } from "node:net";
import {
  type BackendRequest,
  collectBody,
} from "../src/connection/backend_request.ts";
import { AttemptError, FailureCause } from "../src/errors.ts";
import type { RequestId } from "../src/ids.ts";
import type { RegisteredServer } from "../src/process/registered_server.ts";
import { Fencing, ObjectKind } from "../src/version/types.ts";
import {
  type ForwardedRequest,
  sendBackendRequest,
} from "../platform/backend_call.ts";

/** Id of the requests that `callRawServer` sends. */
export const RAW_REQUEST_ID = "9c41d07be2a35f68";

/** A server that passes each connection to a handler. */
export class RawServer {
  readonly #sockets = new Set<Socket>();
  readonly #server;

  private constructor(onConnection: (socket: Socket) => void) {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => socket.destroy());
      onConnection(socket);
    });
  }

  /** Listens on a free port of the loopback interface. */
  static async create(
    onConnection: (socket: Socket) => void,
  ): Promise<RawServer> {
    const raw = new RawServer(onConnection);
    await new Promise<void>((resolve) =>
      raw.#server.listen(0, "127.0.0.1", resolve)
    );
    return raw;
  }

  /** IP and port. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Number of connections accepted so far. */
  get connectionCount(): number {
    return this.#sockets.size;
  }

  /** Closes the server and all connections. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }
}

/** Attempts to connect; a busy machine may exceed the connect timeout. */
const CONNECT_ATTEMPTS_MAX = 5;

/** Sends a request to a listening server; returns its outcome in one line. */
export async function callRawServer(
  address: string,
  changes: Partial<BackendRequest> = {},
  requestChanges: Partial<ForwardedRequest> = {},
): Promise<string> {
  let outcome = "";
  for (let attempt = 1; attempt <= CONNECT_ATTEMPTS_MAX; attempt++) {
    outcome = await sendOnce(address, changes, requestChanges);
    if (outcome !== `failed: ${FailureCause.Unreachable}`) break;
  }
  return outcome;
}

async function sendOnce(
  address: string,
  changes: Partial<BackendRequest>,
  requestChanges: Partial<ForwardedRequest>,
): Promise<string> {
  const forwarded: ForwardedRequest = {
    id: RAW_REQUEST_ID as RequestId,
    method: "POST",
    path: "/orders/",
    headers: ["Host", "example", "X-Request-Id", RAW_REQUEST_ID],
    body: Buffer.from("body"),
    customer: "alpha",
    priority: undefined,
    ...requestChanges,
  };
  try {
    const response = await sendBackendRequest(forwarded, {
      server: listedServer(address),
      timeoutMs: 1_000,
      lastEventId: undefined,
      kvCopy: undefined,
      backupServer: undefined,
      signal: AbortSignal.timeout(5_000),
      onSent: () => undefined,
      onHoldOff: () => undefined,
      ...changes,
    });
    if (response.hasNotRun) return "not run";
    const body = await collectBody(response);
    return `${response.head.status} ${body}`;
  } catch (error) {
    if (error instanceof AttemptError) return `failed: ${error.failureCause}`;
    throw error;
  }
}

function listedServer(address: string): RegisteredServer {
  return {
    kind: ObjectKind.BackendServer,
    name: "i-1",
    address,
    zone: "a",
    service: "s",
    slots: 1,
    fencing: Fencing.Ignored,
    isLeaving: false,
    startedMs: 0,
  };
}

/** Writes `unit` again and again until the connection closes or the limit. */
export function writeEndlessly(
  socket: Socket,
  { unit, limitBytes }: { readonly unit: string; readonly limitBytes: number },
): void {
  const pump = () => {
    while (!socket.destroyed && socket.writable) {
      if (socket.bytesWritten > limitBytes) return void socket.end();
      if (!socket.write(unit)) return;
    }
  };
  socket.on("drain", pump);
  pump();
}
