/** A part that crashes runners, late in a long prompt: is it ever refused? */

import { randomUUID } from "node:crypto";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { startCrashingRunner } from "../lib-2/crashing_runner.mjs";
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
import { startStore } from "../lib-2/store.mjs";

const DEADLY = "dead0f16";
const ZONES = ["morava-a", "morava-b", "morava-c"];
const RUNNERS = 9;
/** Parts of a prompt, without the last one. */
const PARTS = 18;
/** Where the deadly part stands among them, from 1. */
const POSITION = Number(process.env.POSITION ?? 17);
const DEADLY_EVERY_MS = 1_500;
const SOUND_EVERY_MS = 300;
const PLAY_MS = 45_000;
const CONTACT_MS = 3_000;
const LATE_ALLOWED = 3;

/** Returns a prompt whose last part is its own. */
function prompt(id, { isDeadly }) {
  const shared = Array.from(
    { length: PARTS },
    (_, at) => isDeadly && at + 1 === POSITION ? DEADLY : `5c1e07${10 + at}`,
  );
  return [...shared, id.slice(0, 8)].map((part) => `${part}:40`).join(",");
}

runCase(async () => {
  const record = await openRecord(import.meta.url);
  const host = ownHost();
  const store = await startStore(host);
  const log = { arrivals: [], crashes: [] };
  const runners = [];
  for (let at = 0; at < RUNNERS; at++) {
    runners.push(
      await startCrashingRunner({
        store,
        host,
        name: `i-7f3a91c${at}`,
        zone: ZONES[at % ZONES.length],
        deadly: HAS_TROUBLE ? DEADLY : undefined,
        backAfterMs: 3_000,
        log,
      }),
    );
  }
  store.write("config", "main", configuration());
  const entry = await startEntry({ name: "edge-morava-a-1", host, store });
  await sleep(4_000);

  const startMs = performance.now();
  const answers = { sound: {}, deadly: {} };
  const deadlyIds = new Set();
  const send = async (isDeadly) => {
    const id = randomUUID();
    if (isDeadly) deadlyIds.add(id);
    const atMs = performance.now() - startMs;
    const { status } = await call({
      host,
      port: entry.ports.callers,
      method: "POST",
      path: "/souhrn/2f",
      headers: {
        host: HOST_NAME,
        "x-request-id": id,
        "x-deadline-ms": "25000",
        authorization: `Bearer ${KEY}`,
        "x-model": "m",
        "x-token-count": `${(PARTS + 1) * 40},900`,
        "x-prompt-prefix": prompt(id, { isDeadly }),
      },
      body: "hi",
    });
    const counts = isDeadly ? answers.deadly : answers.sound;
    counts[status] = (counts[status] ?? 0) + 1;
    const kind = isDeadly ? "deadly" : "sound";
    await record(`sent ${kind} ${id} at ${atMs.toFixed(0)} ms: ${status}`);
  };
  const sent = [];
  const timers = [
    setInterval(() => sent.push(send(false)), SOUND_EVERY_MS),
    setInterval(() => sent.push(send(true)), DEADLY_EVERY_MS),
  ];
  await sleep(PLAY_MS);
  for (const timer of timers) clearInterval(timer);
  await Promise.race([Promise.all(sent), sleep(12_000)]);

  const fifthMs = log.crashes[4]?.atMs ?? Infinity;
  const ofPart = log.arrivals.filter(({ requestId }) =>
    deadlyIds.has(requestId)
  );
  const late = ofPart.filter(({ atMs }) => atMs > fifthMs + CONTACT_MS);
  for (const { atMs, own } of log.crashes) {
    await record(`${own} crashed at ${(atMs - startMs).toFixed(0)} ms`);
  }
  for (const { atMs, requestId, own } of ofPart) {
    const at = (atMs - startMs).toFixed(0);
    await record(`deadly ${requestId} reached ${own} at ${at} ms`);
  }
  if (Object.keys(answers.sound).length === 0) throw new Error("no answer");
  await finish(record, {
    isBroken: late.length > LATE_ALLOWED,
    line: `BUDGET: ${late.length} requests with the part reached runners ` +
      `later than ${CONTACT_MS} ms after the fifth crash; ` +
      `${log.crashes.length} crashes, ${ofPart.length} arrivals; answers ` +
      `sound ${JSON.stringify(answers.sound)}, ` +
      `deadly ${JSON.stringify(answers.deadly)}`,
    closing: [entry.close, ...runners.map(({ close }) => close), store.close],
  });
});
