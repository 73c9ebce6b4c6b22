/**
 * Accepts callers' connections before the server that serves them is loaded.
 * Callers retry once within a second, so a port that opens late loses those of
 * an entry that restarts. This module is loaded first and imports little.
 */

import type { Server as HttpServer } from "node:http";
import { createServer, type Server, type Socket } from "node:net";

/**
 * Connections kept until the server is loaded. Nothing is read from them, so
 * their bytes wait in the kernel; further ones are closed unread.
 */
const KEPT_CONNECTIONS_MAX = 512;

/** A listening port whose connections are kept until `handOver`. */
export class EarlyListener {
  /** `IP:port`, as the settings name it. */
  readonly address: string;
  readonly #now: () => number;
  readonly #listener: Server;
  /** When kept connections were accepted, on the monotonic clock in ms. */
  readonly #acceptedMs = new Map<Socket, number>();
  #server: HttpServer | undefined;

  private constructor(address: string, now: () => number) {
    this.address = address;
    this.#now = now;
    // The first two options are those with which Node creates an HTTP server.
    this.#listener = createServer(
      { allowHalfOpen: true, noDelay: true, pauseOnConnect: true },
      (socket) => this.#accept(socket),
    );
  }

  /** Opens a port. Errors: rejects if it can't be opened. */
  static listen(
    { address, host, port, now }: {
      readonly address: string;
      readonly host: string;
      readonly port: number;
      /** Monotonic clock, in ms. */
      readonly now: () => number;
    },
  ): Promise<EarlyListener> {
    const early = new EarlyListener(address, now);
    return new Promise((resolve, reject) => {
      early.#listener.once("error", reject);
      early.#listener.listen(port, host, () => {
        early.#listener.off("error", reject);
        resolve(early);
      });
    });
  }

  /** Has a server serve the kept connections, in order, and all later ones. */
  handOver(server: HttpServer): void {
    this.#server = server;
    for (const socket of this.#acceptedMs.keys()) serve(server, socket);
  }

  /**
   * Returns when a kept connection was accepted, for its first request; later
   * requests were sent after it.
   */
  takeAcceptedMs(socket: Socket): number | undefined {
    const acceptedMs = this.#acceptedMs.get(socket);
    this.#acceptedMs.delete(socket);
    return acceptedMs;
  }

  /** Stops listening, and closes connections that were not handed over. */
  close(): void {
    this.#listener.close();
    if (this.#server !== undefined) return;
    for (const socket of this.#acceptedMs.keys()) socket.destroy();
  }

  #accept(socket: Socket): void {
    if (this.#server !== undefined) return serve(this.#server, socket);
    if (this.#acceptedMs.size >= KEPT_CONNECTIONS_MAX) {
      return void socket.destroy();
    }
    this.#acceptedMs.set(socket, this.#now());
    // Without a listener, a reset before `handOver` would end the process.
    socket.on("error", () => socket.destroy());
    socket.once("close", () => this.#acceptedMs.delete(socket));
  }
}

function serve(server: HttpServer, socket: Socket): void {
  server.emit("connection", socket);
  socket.resume();
}
