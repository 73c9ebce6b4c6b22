/** `measure path`: what an entry adds to a stream, and how many it carries. */

import { setTimeout as sleep } from "node:timers/promises";
import { callHttp } from "../src/connection/http_call.ts";
import type { Child } from "./child.ts";
import type { StreamReaderResults } from "./stream_reader.ts";
import { type Report, round } from "./figures.ts";
import { LocalCluster, waitFor } from "./local_cluster.ts";

const TOKEN_MS = 60;
const COMPARED_STREAMS = 200;
const CARRIED_STREAMS = 1_500;
const FAST_TOKEN_MS = 40;
const WATCHED_MS = 5_000;
const ADDED_FIRST_MAX_MS = 3;
const ADDED_TOKEN_MAX_MS = 1;
const TOKENS_MIN_PER_S = 36_000;
const MEMORY_MAX_MB = 256;
const PACED_SHARE_MIN = 0.99;
const MEGABYTE = 1_048_576;
const ENGINES = 2;
const DRAINS = 2;

/** CPU time and memory of a process. */
export interface ProcessUsage {
  readonly cpuS: number;
  readonly residentMb: number;
}

/** Measures and reports. */
export async function measurePath(seed: number): Promise<Report> {
  const cluster = await LocalCluster.create({
    engines: ENGINES,
    slots: CARRIED_STREAMS,
    engineSwitches: { tokenMs: TOKEN_MS, stamped: true, announceRuns: false },
    patientTargetMs: 60_000,
  });
  try {
    const direct = await compare(cluster, true);
    const through = await compare(cluster, false);
    const paced = await carry(cluster, TOKEN_MS);
    const fast = await carry(cluster, FAST_TOKEN_MS);
    const addedFirstMs = through.first.p95 - direct.first.p95;
    const addedTokenMs = through.delay.p95 - direct.delay.p95;
    return {
      measurement: "path",
      seed,
      figures: { direct, through, paced, fast },
      bounds: [
        {
          name: "added to the first token, p95 ms",
          value: addedFirstMs,
          limit: ADDED_FIRST_MAX_MS,
          side: "at_most",
        },
        {
          name: "added to a token, p95 ms",
          value: addedTokenMs,
          limit: ADDED_TOKEN_MAX_MS,
          side: "at_most",
        },
        {
          name: "1500 streams at 60 ms: share of their tokens carried",
          value: paced.tokensPerS / (CARRIED_STREAMS * 1_000 / TOKEN_MS),
          limit: PACED_SHARE_MIN,
          side: "at_least",
        },
        {
          name: "tokens/s with faster pacing",
          value: fast.tokensPerS,
          limit: TOKENS_MIN_PER_S,
          side: "at_least",
        },
        {
          name: "resident memory, MB",
          value: Math.max(paced.residentMb, fast.residentMb),
          limit: MEMORY_MAX_MB,
          side: "at_most",
        },
      ],
    };
  } finally {
    await cluster.close();
  }
}

/** Reads a process's usage from its metrics. */
export async function readUsage(child: Child): Promise<ProcessUsage> {
  const answer = await callHttp({
    address: child.address,
    method: "GET",
    path: "/metrics",
    timeoutMs: 10_000,
  });
  const text = answer.body.toString();
  const value = (name: string) =>
    Number(new RegExp(`^${name} (\\S+)$`, "m").exec(text)?.[1]);
  return {
    cpuS: value("process_cpu_seconds_total"),
    residentMb: value("process_resident_memory_bytes") / MEGABYTE,
  };
}

async function compare(cluster: LocalCluster, isDirect: boolean) {
  const from = isDirect ? cluster.engines : cluster.entries;
  const { drains, all } = await startDrains(cluster, {
    from,
    isDirect,
    streams: COMPARED_STREAMS,
    processes: 1,
  });
  await sleep(WATCHED_MS);
  const [figures] = await all();
  await endDrains(drains);
  if (figures === undefined) throw new Error("no drain");
  return { first: figures.first, delay: figures.delay };
}

async function carry(cluster: LocalCluster, tokenMs: number) {
  for (const engine of cluster.engines) await engine.control({ tokenMs });
  const { drains, all } = await startDrains(cluster, {
    from: cluster.entries,
    isDirect: false,
    streams: CARRIED_STREAMS,
    processes: DRAINS,
  });
  const before = await readUsage(cluster.entry());
  for (const drain of drains) await drain.get("/reset");
  await sleep(WATCHED_MS);
  const figures = await all();
  const after = await readUsage(cluster.entry());
  await endDrains(drains);
  const tokens = figures.reduce((sum, part) => sum + part.tokens, 0);
  const cpuS = after.cpuS - before.cpuS;
  return {
    streams: CARRIED_STREAMS,
    tokenMs,
    tokensPerS: round(tokens / (WATCHED_MS / 1_000)),
    cores: round(cpuS / (WATCHED_MS / 1_000)),
    microsPerToken: round(cpuS * 1e6 / tokens),
    residentMb: round(after.residentMb),
    delay: figures.map(({ delay }) => delay),
  };
}

async function startDrains(cluster: LocalCluster, options: {
  readonly from: readonly Child[];
  readonly isDirect: boolean;
  readonly streams: number;
  readonly processes: number;
}) {
  const drains = await Promise.all(
    Array.from({ length: options.processes }, () =>
      cluster.startStreamReader({
        from: options.from,
        isDirect: options.isDirect,
        streams: options.streams / options.processes,
      })),
  );
  const all = () =>
    Promise.all(drains.map((drain) => drain.get<StreamReaderResults>("/")));
  await waitFor("all streams run", async () => {
    const figures = await all();
    const opened = figures.reduce((sum, part) => sum + part.opened, 0);
    await sleep(200);
    return opened === options.streams;
  });
  return { drains, all };
}

async function endDrains(drains: readonly Child[]): Promise<void> {
  await Promise.all(drains.map((drain) => drain.kill()));
  await sleep(1_000);
}
