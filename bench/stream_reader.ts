/** A lean reader of many streams: counts tokens and times, parses little. */

import { request } from "node:http";
import process from "node:process";
import { performance } from "node:perf_hooks";
import {
  type StartStreamRequest,
  STREAMS_PATH,
} from "../src/connection/engine_protocol.ts";
import { splitAddress } from "../src/connection/http_call.ts";
import {
  DurationHistogram,
  type Percentiles,
} from "../src/process/duration_histogram.ts";
import { bearerKey, GENERATION_SERVICE } from "./local_deployment.ts";

/** Where streams are drained from. */
export interface StreamReaderTarget {
  readonly address: string;
  /** Straight from an engine, or through an entry. */
  readonly isDirect: boolean;
  readonly maxTokens: number;
}

const STAMP = / (\d{6,})/g;
const MICROSECONDS = 1_000;

/** What a drain has seen since its last reset. */
export interface StreamReaderResults {
  /** Streams that have given a token, since the start. */
  readonly opened: number;
  readonly tokens: number;
  /** Time to the first token, since the start. */
  readonly first: Percentiles;
  /** Delay from an engine's sending to the reading here. */
  readonly delay: Percentiles;
}

/** Streams that are read until closed. */
export class StreamReader {
  readonly #first = DurationHistogram.create();
  #delay = DurationHistogram.create();
  #tokens = 0;
  #opened = 0;
  #count = 0;

  private constructor() {}

  /** Makes a drain without streams. */
  static create(): StreamReader {
    return new StreamReader();
  }

  /** Returns what was seen. */
  results(): StreamReaderResults {
    return {
      opened: this.#opened,
      tokens: this.#tokens,
      first: this.#first.percentiles(),
      delay: this.#delay.percentiles(),
    };
  }

  /** Opens one more stream. */
  open(target: StreamReaderTarget): void {
    const { host, port } = splitAddress(target.address);
    const id = `drain-${process.pid}-${this.#count++}`;
    const path = target.isDirect ? STREAMS_PATH : "/v1/completions";
    const body = JSON.stringify(
      target.isDirect ? directOrder(id, target) : entryOrder(id, target),
    );
    const startMs = performance.now();
    const outgoing = request({
      host,
      port,
      path,
      method: "POST",
      agent: false,
      headers: { authorization: `Bearer ${bearerKey("alpha")}` },
    });
    let isFirst = true;
    outgoing.once("response", (response) => {
      response.setEncoding("latin1");
      response.on("data", (text: string) => {
        const found = this.#take(text);
        if (!isFirst || found === 0) return;
        isFirst = false;
        this.#opened++;
        this.#first.record(performance.now() - startMs);
      });
      response.on("error", () => undefined);
    });
    outgoing.on("error", () => undefined);
    outgoing.end(body);
  }

  /** Starts the counts anew; streams go on. */
  reset(): void {
    this.#tokens = 0;
    this.#delay = DurationHistogram.create();
  }

  #take(text: string): number {
    let found = 0;
    const nowMicros = Number(process.hrtime.bigint() / 1_000n);
    for (const [, stamp] of text.matchAll(STAMP)) {
      found++;
      this.#delay.record((nowMicros - Number(stamp)) / MICROSECONDS);
    }
    this.#tokens += found;
    return found;
  }
}

function directOrder(
  id: string,
  { maxTokens }: StreamReaderTarget,
): StartStreamRequest {
  return {
    stream: id as StartStreamRequest["stream"],
    request: id as StartStreamRequest["request"],
    model: "writer",
    modelVersion: "1",
    prompt: id,
    journal: "",
    position: 0,
    maxTokens,
    priority: 0,
  };
}

function entryOrder(id: string, { maxTokens }: StreamReaderTarget) {
  return {
    model: GENERATION_SERVICE,
    prompt: id,
    max_tokens: maxTokens,
    stream: true,
  };
}
