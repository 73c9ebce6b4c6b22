/**
 * Ordinary streams on kept connections while a crowd is there: how many of them
 * does the entry lose?
 */

import { randomUUID } from "node:crypto";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import {
  configuration,
  finish,
  HAS_TROUBLE,
  HOST_NAME,
  KEY,
  openRecord,
  runCase,
} from "./deployment.mjs";
import { memoryMb, ownHost, startEntry } from "./entry.mjs";
import { startRunner } from "./runner.mjs";
import { startStore } from "./store.mjs";
import { keepConnection, streamAnswer } from "./streams.mjs";

/** Model runners, with 12 slots each. */
const RUNNERS = 8;
/** Ordinary clients, each with a kept connection and one stream at a time. */
const CLIENTS = 80;
/** What a runner takes to read a prompt of 5,000 tokens, in ms. */
const PREFILL_MS = 1_000;
/** Time over which the clients begin, in ms. */
const SPREAD_MS = 5_000;
const MEMORY_MB = 350;
/** How long the crowd stays once all of it is there, in ms. */
const STAY_MS = 6_000;
/** Lost requests that the rule allows. */
const LOST_ALLOWED = 3;

/** Returns the head of a request. */
export function head(id, path, fields) {
  return [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST_NAME}`,
    `X-Request-Id: ${id}`,
    "X-Deadline-Ms: 25000",
    `Authorization: Bearer ${KEY}`,
    ...fields,
  ].join("\r\n") + "\r\n\r\n";
}

/**
 * Plays a case.
 *
 * @param url of the case
 * @param crowd its connections, and what each of them writes
 */
export function runCrowdCase(url, { connections, write }) {
  runCase(() => play(url, { connections, write }));
}

async function play(url, { connections, write }) {
  const record = await openRecord(url);
  const host = ownHost();
  const store = await startStore(host);
  const runners = [];
  for (let at = 0; at < RUNNERS; at++) {
    const id = `i-7f3a91c${at}`;
    const runner = await startRunner({
      id,
      host,
      service: "model-bojka",
      slots: 12,
      answer: streamAnswer({
        events: 130,
        gapMs: 30,
        prefillMs: PREFILL_MS,
      }),
    });
    runners.push(runner);
    store.write("servers", id, runner.spec);
  }
  store.write("config", "main", configuration());
  const entry = await startEntry({
    name: "edge-morava-a-1",
    host,
    store,
    settings: { "limits.memoryMb": String(MEMORY_MB) },
  });
  const { callers: port } = entry.ports;

  let isOver = false;
  let served = 0;
  const unanswered = [];
  const client = async (at) => {
    const connection = keepConnection({ host, port });
    let answered = 0;
    await sleep(at * SPREAD_MS / CLIENTS);
    while (!isOver && !connection.isClosed) {
      const id = randomUUID();
      const answer = await connection.ask(
        head(id, "/souhrn/2f", [
          "X-Model: m",
          "X-Token-Count: 400,900",
          `X-Prompt-Prefix: 5c1e07a2:200,${id.slice(0, 8)}:200`,
          "Content-Length: 2",
        ]) + "hi",
        { waitMs: 25_000 },
      );
      if (answer.isComplete) served += answer.status === 200 ? 1 : 0;
      else unanswered.push({ id, isKept: answered > 0, ...answer });
      answered++;
    }
    connection.close();
  };
  const clients = Array.from({ length: CLIENTS }, (_, at) => client(at));
  await sleep(12_000);
  await record(`before the crowd: ${served} streams served completely`);

  const crowd = [];
  let opened = 0;
  let peakMb = 0;
  for (let at = 0; HAS_TROUBLE && at < connections; at++) {
    const socket = connect(port, host);
    crowd.push(socket);
    socket.on("error", () => socket.destroy());
    socket.once("connect", () => {
      opened++;
      write(socket);
    });
    if (at % 50 === 49) await sleep(20);
    peakMb = Math.max(peakMb, await memoryMb(entry.pid));
  }
  const endMs = performance.now() + STAY_MS;
  while (performance.now() < endMs && entry.end === undefined) {
    peakMb = Math.max(peakMb, await memoryMb(entry.pid));
    await sleep(50);
  }
  isOver = true;
  await Promise.race([Promise.all(clients), sleep(20_000)]);
  for (const socket of crowd) socket.destroy();

  const begun = new Set(
    runners.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)),
  );
  const cut = unanswered.filter(({ id, wasClosed }) =>
    wasClosed && begun.has(id)
  );
  // The rule counts kept connections, and requests without any answer.
  const lost = cut.filter(({ isKept, status }) => isKept && status === 0);
  for (const { id, status, body } of cut) {
    const pieces = body.split("\n\n").length - 1;
    await record(
      `cut ${id}: passed on, status ${status}, ${pieces} of 130 events, ` +
        "then its connection was closed",
    );
  }
  const end = entry.end === undefined
    ? "runs on"
    : `has ended by itself (code ${entry.end.code}, ${entry.end.signal})`;
  if (entry.end !== undefined) {
    const reason = /^.*(?:FATAL ERROR|heap out of memory).*$/m
      .exec(entry.output())?.[0];
    await record(`the entry's last words: ${reason ?? "none"}`);
  }
  await record(`crowd: ${opened} connections; memory ${peakMb.toFixed(0)} MB`);
  if (served === 0) throw new Error("no stream was served");
  await finish(record, {
    isBroken: lost.length > LOST_ALLOWED,
    line: `LOST: ${lost.length} requests were passed on and their kept ` +
      `connections closed without any answer; ${cut.length - lost.length} ` +
      `more streams cut in the middle; ${served} served; ` +
      `the entry ${end}`,
    closing: [
      entry.close,
      ...runners.map(({ close }) => close),
      store.close,
    ],
  });
}
