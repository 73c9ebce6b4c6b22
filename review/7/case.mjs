/** Entries of another writer in the list of runners: do the others hold? */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import {
  configuration,
  finish,
  HAS_TROUBLE,
  HOST_NAME,
  KEY,
  openRecord,
  runCase,
} from "../lib-2/deployment.mjs";
import { call, ownHost, startEntry } from "../lib-2/entry.mjs";
import { startRunner } from "../lib-2/runner.mjs";
import { startStore } from "../lib-2/store.mjs";

const HEARTBEAT_MS = 1_200;
const TRAFFIC_MS = 25_000;
/** A service that no configuration names. */
const FOREIGN_SERVICE = "inventura";

runCase(async () => {
  const record = await openRecord(import.meta.url);
  const host = ownHost();
  const store = await startStore(host);
  const runners = [];
  for (const id of ["i-7f3a91c2", "i-20c4d1aa", "i-9b02e7d4"]) {
    const runner = await startRunner({
      id,
      host,
      service: "sluzby-clenu",
      slots: 6,
      workMs: 40,
    });
    runners.push(runner);
  }
  let sequence = 0;
  const beat = () => {
    sequence++;
    for (const { id, spec } of runners) {
      store.write("servers", id, { ...spec, sequence });
    }
  };
  beat();
  const heartbeat = setInterval(beat, HEARTBEAT_MS);
  store.write("config", "main", configuration());
  const entry = await startEntry({ name: "edge-morava-a-1", host, store });
  if (HAS_TROUBLE) {
    for (const { id, spec } of runners) {
      const foreign = { ...spec, service: FOREIGN_SERVICE };
      store.write("servers", `inv-${id}`, foreign);
      await record(`another writer: inv-${id} ${JSON.stringify(foreign)}`);
    }
  }
  // Traffic starts some seconds after the machines do.
  await sleep(3_000);

  const requests = [];
  const send = async (path) => {
    const id = randomUUID();
    const startMs = performance.now();
    const { status } = await call({
      host,
      port: entry.ports.callers,
      path,
      headers: {
        host: HOST_NAME,
        "x-request-id": id,
        "x-deadline-ms": "1000",
        authorization: `Bearer ${KEY}`,
      },
    });
    requests.push({ status });
    const tookMs = (performance.now() - startMs).toFixed(0);
    await record(`sent ${id} ${path}: answered ${status} after ${tookMs} ms`);
  };
  const endMs = performance.now() + TRAFFIC_MS;
  const sent = [];
  while (performance.now() < endMs) {
    sent.push(send("/cist/1"), send("/objednat/1"));
    await sleep(200);
  }
  await Promise.all(sent);
  clearInterval(heartbeat);
  const served = requests.filter(({ status }) => status === 200).length;
  const runs = runners.reduce((sum, runner) => sum + runner.runs.length, 0);
  if (served === 0 && !HAS_TROUBLE) throw new Error("nothing was served");
  await finish(record, {
    isBroken: served === 0,
    line: `Fault: ${served} of ${requests.length} requests served, ` +
      `${runs} runs at three idle, sound runners`,
    closing: [entry.close, ...runners.map(({ close }) => close), store.close],
  });
});
