/**
 * Stand-in for the runner of a plain service (PROTOCOL.md, "Runners" and
 * "Service discovery"). It answers a request in some ms, and registers in the
 * store. A request whose path contains `poison` crashes it when it begins to
 * run, if `crashes` is set: its connections break, nothing listens, its entry in
 * the store lapses, and some seconds later it starts as a new incarnation.
 */

import { createServer } from "node:http";
import process from "node:process";
import { STREAM_PATH } from "./config.mjs";

const HEARTBEAT_MS = 1_200;
const LAPSE_MS = 3 * HEARTBEAT_MS;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_MISDIRECTED = 421;
const STATUS_UNAVAILABLE = 503;
/** A short stream. */
const STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
let lastId = 0;

/** One runner at one address, through its incarnations. */
export class Runner {
  #options;
  #server;
  #sockets = new Set();
  #heartbeat;
  #port = 0;
  #id = "";
  #born = 0;
  #sequence = 0;
  #running = 0;
  #timers = new Set();
  #isStopped = false;

  /**
   * @param options the `store`, `host`, `service`, `zone`, `slots`, `workMs`,
   * `backMs` (time from a crash to the next start), `crashes` and `record`
   */
  constructor(options) {
    this.#options = options;
  }

  async start() {
    const { host } = this.#options;
    this.#id = `i-${process.pid.toString(16)}-${++lastId}`;
    this.#born = Date.now();
    this.#sequence = 0;
    this.#running = 0;
    this.#server = createServer((request, response) =>
      this.#handle(request, response)
    );
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
      socket.on("error", () => socket.destroy());
    });
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.#port, host, resolve);
    });
    this.#port = this.#server.address().port;
    this.#register();
    this.#heartbeat = setInterval(() => this.#register(), HEARTBEAT_MS);
  }

  stop() {
    this.#isStopped = true;
    for (const timer of this.#timers) clearTimeout(timer);
    this.#close();
  }

  #close() {
    clearInterval(this.#heartbeat);
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  #register() {
    const { store, host, service, zone, slots } = this.#options;
    store.writeTimesMs.push(Date.now());
    store.put("servers", this.#id, {
      service,
      address: `${host}:${this.#port}`,
      zone,
      version: "v1",
      slots,
      state: "ready",
      coldRemainingMs: 0,
      born: this.#born,
      sequence: ++this.#sequence,
    });
  }

  /**
   * Leaves without ever reporting `draining`: the entry in the store goes, and
   * the runner goes on serving until `endLeft`. Returns its id.
   */
  leave() {
    clearInterval(this.#heartbeat);
    this.#options.store.remove("servers", this.#id);
    return this.#id;
  }

  /** Ends a runner that has left. */
  endLeft() {
    this.#close();
  }

  #crash() {
    const { store, backMs } = this.#options;
    const id = this.#id;
    this.#close();
    this.#later(LAPSE_MS, () => store.remove("servers", id));
    this.#later(backMs, () => this.start());
  }

  #later(ms, action) {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      if (!this.#isStopped) action();
    }, ms);
    this.#timers.add(timer);
  }

  async #handle(request, response) {
    const { record, crashes, workMs, slots } = this.#options;
    const id = String(request.headers["x-request-id"] ?? "");
    const expected = request.headers["x-expect-instance"];
    try {
      for await (const _ of request) continue;
    } catch {
      return;
    }
    const answer = (status, headers = {}, body = "") => {
      response.writeHead(status, {
        ...(id === "" ? {} : { "x-request-id": id }),
        "x-instance-id": this.#id,
        "content-length": Buffer.byteLength(body),
        ...headers,
      });
      response.end(body);
    };
    if (request.url === "/healthz") return answer(STATUS_OK);
    // A plain service has no report.
    if (request.url.startsWith("/v1/")) return answer(STATUS_NOT_FOUND);
    if (expected !== undefined && expected !== this.#id) {
      return answer(STATUS_MISDIRECTED, { "x-not-executed": "1" });
    }
    const isPoison = request.url.includes("poison");
    if (this.#running >= slots) {
      return answer(STATUS_UNAVAILABLE, { "x-not-executed": "1" });
    }
    record({
      what: "run",
      request: id,
      path: request.url,
      runner: this.#id,
      crashed: isPoison && crashes,
    });
    if (isPoison && crashes) return this.#crash();
    this.#running++;
    this.#later(workMs, () => {
      this.#running--;
      const isStream = request.url.startsWith(STREAM_PATH);
      answer(
        STATUS_OK,
        {
          "x-server-stamp": `${this.#id}.${id}`,
          ...(isStream ? { "content-type": "text/event-stream" } : {}),
        },
        isStream ? STREAM : `answer to ${request.url}`,
      );
    });
  }
}
