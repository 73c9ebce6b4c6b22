/** `measure path`: latency that an entry adds to streams; its throughput. */

import { setTimeout as sleep } from "node:timers/promises";
import { callHttp } from "../src/connection/http_call.ts";
import type { Child } from "./child.ts";
import type { StreamReaderResults } from "./stream_reader.ts";
import { type Report, round } from "./figures.ts";
import { LocalCluster, waitFor } from "./local_cluster.ts";

const TOKEN_MS = 60;
const LATENCY_STREAMS = 200;
const THROUGHPUT_STREAMS = 1_500;
const FAST_TOKEN_MS = 40;
const MEASURE_MS = 5_000;
const ADDED_FIRST_MAX_MS = 3;
const ADDED_TOKEN_MAX_MS = 1;
const TOKENS_MIN_PER_S = 36_000;
const MEMORY_MAX_MB = 256;
const PACED_THROUGHPUT_MIN_FRACTION = 0.99;
const BYTES_PER_MB = 1_048_576;
const ENGINES = 2;
const READER_PROCESSES = 2;

/** CPU time in s and resident memory in MB (2^20 bytes) of a process. */
export interface ProcessUsage {
  readonly cpuS: number;
  readonly residentMb: number;
}

/** Measures an entry's added latency, throughput and memory. */
export async function measurePath(seed: number): Promise<Report> {
  const cluster = await LocalCluster.create({
    engines: ENGINES,
    slots: THROUGHPUT_STREAMS,
    engineSwitches: { tokenMs: TOKEN_MS, stamped: true, announceRuns: false },
    patientTargetMs: 60_000,
  });
  try {
    const direct = await measureLatency(cluster, true);
    const through = await measureLatency(cluster, false);
    const paced = await measureThroughput(cluster, TOKEN_MS);
    const fast = await measureThroughput(cluster, FAST_TOKEN_MS);
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
          value: paced.tokensPerS / (THROUGHPUT_STREAMS * 1_000 / TOKEN_MS),
          limit: PACED_THROUGHPUT_MIN_FRACTION,
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

/** Reads a process's CPU time and memory from its metrics. */
export async function readUsage(child: Child): Promise<ProcessUsage> {
  const response = await callHttp({
    address: child.address,
    method: "GET",
    path: "/metrics",
    timeoutMs: 10_000,
  });
  const text = response.body.toString();
  const metricValue = (name: string) =>
    Number(new RegExp(`^${name} (\\S+)$`, "m").exec(text)?.[1]);
  return {
    cpuS: metricValue("process_cpu_seconds_total"),
    residentMb: metricValue("process_resident_memory_bytes") / BYTES_PER_MB,
  };
}

async function measureLatency(cluster: LocalCluster, isDirect: boolean) {
  const from = isDirect ? cluster.engines : cluster.entries;
  const { readers, readResults } = await startReaders(cluster, {
    from,
    isDirect,
    streams: LATENCY_STREAMS,
    processes: 1,
  });
  await sleep(MEASURE_MS);
  const [results] = await readResults();
  await stopReaders(readers);
  if (results === undefined) throw new Error("no stream reader was started");
  return { first: results.first, delay: results.delay };
}

async function measureThroughput(cluster: LocalCluster, tokenMs: number) {
  for (const engine of cluster.engines) await engine.control({ tokenMs });
  const { readers, readResults } = await startReaders(cluster, {
    from: cluster.entries,
    isDirect: false,
    streams: THROUGHPUT_STREAMS,
    processes: READER_PROCESSES,
  });
  const before = await readUsage(cluster.entry());
  for (const reader of readers) await reader.get("/reset");
  await sleep(MEASURE_MS);
  const results = await readResults();
  const after = await readUsage(cluster.entry());
  await stopReaders(readers);
  const tokens = results.reduce((sum, result) => sum + result.tokens, 0);
  const cpuS = after.cpuS - before.cpuS;
  return {
    streams: THROUGHPUT_STREAMS,
    tokenMs,
    tokensPerS: round(tokens / (MEASURE_MS / 1_000)),
    cores: round(cpuS / (MEASURE_MS / 1_000)),
    microsPerToken: round(cpuS * 1e6 / tokens),
    residentMb: round(after.residentMb),
    delay: results.map(({ delay }) => delay),
  };
}

async function startReaders(cluster: LocalCluster, options: {
  readonly from: readonly Child[];
  readonly isDirect: boolean;
  readonly streams: number;
  readonly processes: number;
}) {
  const readers = await Promise.all(
    Array.from({ length: options.processes }, () =>
      cluster.startStreamReader({
        from: options.from,
        isDirect: options.isDirect,
        streams: options.streams / options.processes,
      })),
  );
  const readResults = () =>
    Promise.all(readers.map((reader) => reader.get<StreamReaderResults>("/")));
  await waitFor("all streams have delivered a token", async () => {
    const results = await readResults();
    const opened = results.reduce((sum, result) => sum + result.opened, 0);
    await sleep(200);
    return opened === options.streams;
  });
  return { readers, readResults };
}

async function stopReaders(readers: readonly Child[]): Promise<void> {
  await Promise.all(readers.map((reader) => reader.kill()));
  await sleep(1_000);
}
