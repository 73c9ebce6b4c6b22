/**
 * Stand-in for the platform's metadata store (PROTOCOL.md, "The platform's
 * metadata store"): objects by kind and name, one revision counter, conditional
 * writes, lists and watches. It runs in the process of the script.
 */

import { createServer } from "node:http";

const STATUS_OK = 200;
const STATUS_CREATED = 201;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;

/** The objects, and the changes since the start. */
export class Store {
  #kinds = new Map();
  #history = [];
  #watchers = new Set();
  #revision = 100;
  #server;
  /** Decides what becomes of a write call; see `start`. */
  #onWrite;
  #openSockets = new Set();
  /** When write calls reached the store, of entries and of runners, in ms. */
  writeTimesMs = [];
  address = "";

  /**
   * Listens on `host`.
   *
   * @param onWrite called with the method and the kind of each write call;
   * returns the delay in ms after which it is carried out without an answer, or
   * undefined to carry it out and answer it at once
   */
  async start(host, onWrite = () => undefined) {
    this.#onWrite = onWrite;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.on("connection", (socket) => {
      this.#openSockets.add(socket);
      socket.once("close", () => this.#openSockets.delete(socket));
    });
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    for (const socket of this.#openSockets) socket.destroy();
  }

  /** Writes an object as the operator and the runners do. */
  put(kind, name, spec) {
    const old = this.#kind(kind).get(name);
    if (
      old !== undefined && JSON.stringify(old.spec) === JSON.stringify(spec)
    ) {
      return old;
    }
    const revision = ++this.#revision;
    const object = {
      metadata: {
        name,
        revision,
        created: old?.metadata.created ?? revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: old?.status ?? null,
    };
    this.#kind(kind).set(name, object);
    this.#record(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const old = this.#kind(kind).get(name);
    if (old === undefined) return undefined;
    this.#kind(kind).delete(name);
    const revision = ++this.#revision;
    const object = { ...old, metadata: { ...old.metadata, revision } };
    this.#record(kind, object, true);
    return object;
  }

  names(kind) {
    return [...this.#kind(kind).keys()].sort();
  }

  #kind(kind) {
    const objects = this.#kinds.get(kind) ?? new Map();
    this.#kinds.set(kind, objects);
    return objects;
  }

  #record(kind, object, deleted) {
    const { revision } = object.metadata;
    this.#history.push({ kind, revision, event: { object, deleted } });
    for (const wake of [...this.#watchers]) wake();
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const [, , , kind, name, part] = url.pathname.split("/")
      .map(decodeURIComponent);
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    if (request.method === "GET") {
      return await this.#read(response, { url, kind, name });
    }
    this.writeTimesMs.push(Date.now());
    const write = () =>
      this.#write({ method: request.method, url, kind, name, part, text });
    const delayMs = this.#onWrite(request.method, kind, name);
    if (delayMs === undefined) return send(response, write());
    // The connection returns nothing further; the call is carried out later.
    setTimeout(write, delayMs);
  }

  async #read(response, { url, kind, name }) {
    const objects = this.#kind(kind);
    if (name !== undefined) {
      const object = objects.get(name);
      return send(
        response,
        object === undefined
          ? { status: STATUS_NOT_FOUND, value: {} }
          : { status: STATUS_OK, value: object },
      );
    }
    if (!url.searchParams.has("watch")) {
      const items = [...objects.values()];
      const value = { items, hasMore: false, currentRev: this.#revision };
      return send(response, { status: STATUS_OK, value });
    }
    const since = Number(url.searchParams.get("watch"));
    const events = await this.#changes(response, {
      kind,
      since,
      waitMs: Number(url.searchParams.get("waitMs") ?? 0),
    });
    const value = { events, currentRev: this.#revision };
    send(response, { status: STATUS_OK, value });
  }

  async #changes(response, { kind, since, waitMs }) {
    const find = () =>
      this.#history
        .filter((change) => change.kind === kind && change.revision > since)
        .map(({ event }) => event);
    if (find().length > 0) return find();
    await new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#watchers.delete(wake);
        resolve();
      };
      const wake = () => {
        if (find().length > 0) done();
      };
      const timer = setTimeout(done, waitMs);
      this.#watchers.add(wake);
      response.once("close", done);
    });
    return find();
  }

  #write({ method, url, kind, name, part, text }) {
    const { metadata = {}, spec, status } = text === "" ? {} : JSON.parse(text);
    const objects = this.#kind(kind);
    const target = name ?? metadata.name;
    const old = objects.get(target);
    const stated = url.searchParams.get("revision") ?? metadata.revision;
    const isStale = old !== undefined && stated !== undefined &&
      Number(stated) !== old.metadata.revision;
    if (method === "POST") {
      return old === undefined
        ? { status: STATUS_CREATED, value: this.put(kind, target, spec) }
        : { status: STATUS_CONFLICT, value: old };
    }
    if (old === undefined) return { status: STATUS_NOT_FOUND, value: {} };
    if (isStale) return { status: STATUS_CONFLICT, value: old };
    if (method === "DELETE") {
      return { status: STATUS_OK, value: this.remove(kind, target) };
    }
    if (part === "status") {
      objects.set(target, { ...old, status });
      return { status: STATUS_OK, value: objects.get(target) };
    }
    return { status: STATUS_OK, value: this.put(kind, target, spec) };
  }
}

function send(response, { status, value }) {
  if (response.destroyed) return;
  const text = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
