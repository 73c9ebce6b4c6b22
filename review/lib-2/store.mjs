/**
 * Stand-in for the platform's store, after PROTOCOL.md: objects by kind and
 * name, one revision counter, lists, watches and writes under a condition.
 */

import { createServer } from "node:http";

const WAIT_MAX_MS = 30_000;

/** Starts a store; `write` is the way of the operator and of the runners. */
export async function startStore(host) {
  const kinds = new Map();
  const history = [];
  const watchers = new Set();
  let revision = 1;
  const objectsOf = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };
  const notify = (kind, object, deleted) => {
    history.push({ kind, revision, object: structuredClone(object), deleted });
    for (const check of [...watchers]) check();
  };
  const put = (kind, name, { spec, status, finalizers }) => {
    const old = objectsOf(kind).get(name);
    const next = {
      spec: spec === undefined ? old?.spec ?? null : spec,
      status: status === undefined ? old?.status ?? null : status,
    };
    const isSame = old !== undefined &&
      JSON.stringify([old.spec, old.status]) ===
        JSON.stringify([next.spec, next.status]);
    if (isSame) return old;
    revision++;
    const object = {
      metadata: {
        name,
        revision,
        created: old?.metadata.created ?? revision,
        finalizers: finalizers ?? old?.metadata.finalizers ?? [],
        deleting: false,
      },
      ...next,
    };
    objectsOf(kind).set(name, object);
    notify(kind, object, false);
    return object;
  };
  const remove = (kind, name) => {
    const old = objectsOf(kind).get(name);
    if (old === undefined) return;
    objectsOf(kind).delete(name);
    revision++;
    notify(kind, old, true);
  };
  const send = (response, status, body) => {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    response.end(text);
  };
  const watch = (kind, url, response) => {
    const since = Number(url.searchParams.get("watch"));
    const waitMs = Math.min(
      WAIT_MAX_MS,
      Number(url.searchParams.get("waitMs") ?? 0),
    );
    const check = (isLast) => {
      const events = history
        .filter((change) => change.kind === kind && change.revision > since)
        .map(({ object, deleted }) => ({ object, deleted }));
      if (events.length === 0 && isLast !== true) return;
      clearTimeout(timer);
      watchers.delete(check);
      send(response, 200, { events, currentRev: revision });
    };
    const timer = setTimeout(() => check(true), waitMs);
    watchers.add(check);
    response.once("close", () => {
      clearTimeout(timer);
      watchers.delete(check);
    });
    check();
  };
  const handle = async (request, response) => {
    const url = new URL(request.url, "http://store");
    const [, , group, kindText, nameText, part] = url.pathname.split("/");
    const kind = decodeURIComponent(kindText ?? "");
    const name = nameText === undefined ? "" : decodeURIComponent(nameText);
    const pieces = [];
    for await (const piece of request) pieces.push(piece);
    const text = Buffer.concat(pieces).toString();
    const body = text === "" ? {} : JSON.parse(text);
    if (group !== "objects") return send(response, 404, {});
    const found = objectsOf(kind).get(name);
    if (request.method === "GET") {
      if (url.searchParams.has("watch")) return watch(kind, url, response);
      if (name === "") {
        return send(response, 200, {
          items: [...objectsOf(kind).values()],
          hasMore: false,
          currentRev: revision,
        });
      }
      return found === undefined
        ? send(response, 404, {})
        : send(response, 200, found);
    }
    if (request.method === "POST") {
      const newName = body.metadata.name;
      const old = objectsOf(kind).get(newName);
      if (old !== undefined) return send(response, 409, old);
      return send(response, 201, put(kind, newName, body));
    }
    if (found === undefined) return send(response, 404, {});
    const stated = body.metadata?.revision ?? url.searchParams.get("revision");
    const isOther = stated !== undefined && stated !== null &&
      Number(stated) !== found.metadata.revision;
    if (isOther) return send(response, 409, found);
    if (request.method === "DELETE") {
      remove(kind, name);
      return send(response, 200, {});
    }
    const change = part === "status"
      ? { status: body.status }
      : { spec: body.spec, finalizers: body.metadata?.finalizers };
    send(response, 200, put(kind, name, change));
  };
  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    write: (kind, name, spec) => put(kind, name, { spec }),
    remove,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
