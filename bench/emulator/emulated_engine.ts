/**
 * An engine in virtual time: requests share a batch of slots and a memory in
 * tokens, prompts are read in chunks between the events of running requests.
 */

import {
  abortError,
  type BackendRequest,
  type BackendResponse,
} from "../../src/connection/backend_request.ts";
import type { ServerReport } from "../../src/connection/backend_report.ts";
import type { ProxyRequest } from "../../src/request/proxy_request.ts";

/** Size and speed of an engine. */
export interface EngineModel {
  readonly slots: number;
  /** Memory for running requests, in tokens. */
  readonly kvCacheTokens: number;
  /** Duration of a step with one running request, in ms. */
  readonly stepMs: number;
  /** Longer by this for each further one, in ms. */
  readonly stepMsPerRun: number;
  /** Prompt tokens read in a ms. */
  readonly prefillTokensPerMs: number;
  /** Prompt tokens read in one step. */
  readonly prefillChunkTokens: number;
  /** Steps that make one event. */
  readonly stepsPerEvent: number;
}

/** The engines of the users' site files. */
export const REFERENCE_ENGINE: EngineModel = {
  slots: 12,
  kvCacheTokens: 55_000,
  stepMs: 4.23,
  stepMsPerRun: 0.000767,
  prefillTokensPerMs: 5,
  prefillChunkTokens: 125,
  stepsPerEvent: 7,
};

interface Run {
  readonly order: ProxyRequest;
  readonly eventsTotal: number;
  unreadTokens: number;
  events: number;
  /** Called with each event, and with `undefined` after the last. */
  readonly onEvent: (id: number | undefined) => void;
}

/** One engine. */
export class EmulatedEngine {
  readonly #model: EngineModel;
  readonly #running = new Set<Run>();
  readonly #waiting: Run[] = [];
  /** Memory that copies of other engines' runs take, in tokens. */
  #copyTokens = 0;
  #isStepping = false;
  /** Prompt tokens read so far. */
  prefilledTokens = 0;
  /** How many times longer than the model's each step takes. */
  slowdownFactor = 1;

  private constructor(model: EngineModel) {
    this.#model = model;
  }

  /** Makes an idle engine. */
  static create(model: EngineModel = REFERENCE_ENGINE): EmulatedEngine {
    return new EmulatedEngine(model);
  }

  /** What it says of itself. */
  report(): ServerReport {
    const runs = [...this.#running]
      .filter(({ events }) => events > 0)
      .map(({ order, events }) => [String(order.id), { events }] as const);
    return {
      startedMs: 1,
      runs: new Map(runs),
      waiting: this.#waiting.length,
      prefilling: this.#running.size - runs.length,
    };
  }

  /** Keeps a copy of a run elsewhere until the returned function is called. */
  reserveKvCopy({ kvCacheTokens: memoryTokens }: ProxyRequest): () => void {
    this.#copyTokens += memoryTokens;
    return () => this.#copyTokens -= memoryTokens;
  }

  /** Serves a stream of `eventsTotal` events. */
  open(
    order: ProxyRequest,
    { target, eventsTotal }: {
      readonly target: BackendRequest;
      readonly eventsTotal: number;
    },
  ): Promise<BackendResponse> {
    const events: (number | undefined)[] = [];
    let wake: () => void = () => undefined;
    const run: Run = {
      order,
      eventsTotal,
      unreadTokens: order.promptTokens,
      events: Number(target.lastEventId ?? 0),
      onEvent: (id) => {
        events.push(id);
        wake();
      },
    };
    const { signal } = target;
    signal.addEventListener("abort", () => {
      this.#remove(run);
      wake();
    });
    target.onSent();
    this.#waiting.push(run);
    this.#step();
    const body = async function* () {
      for (;;) {
        if (signal.aborted) throw abortError(signal);
        if (events.length === 0) {
          await new Promise<void>((resolve) => wake = resolve);
          continue;
        }
        const id = events.shift();
        if (id === undefined) return;
        yield Buffer.from(`id: ${id}\ndata: x\n\n`);
      }
    };
    return Promise.resolve({
      head: { status: 200, headers: [], isFramed: true },
      hasNotRun: false,
      isMisdirected: false,
      body,
    });
  }

  #remove(run: Run): void {
    this.#running.delete(run);
    const at = this.#waiting.indexOf(run);
    if (at >= 0) this.#waiting.splice(at, 1);
  }

  /** Admits the most urgent first, while slots and memory last. */
  #admit(): void {
    const { slots, kvCacheTokens: memoryTokens } = this.#model;
    this.#waiting.sort((a, b) => a.order.rank.order - b.order.rank.order);
    while (this.#waiting.length > 0 && this.#running.size < slots) {
      const held = [...this.#running].reduce(
        (sum, { order }) => sum + order.kvCacheTokens,
        this.#copyTokens,
      );
      const next = this.#waiting[0];
      if (next === undefined) return;
      if (held + next.order.kvCacheTokens > memoryTokens) return;
      this.#waiting.shift();
      this.#running.add(next);
    }
  }

  /** The steps of one event, or of one chunk while nothing else runs. */
  #step(): void {
    if (this.#isStepping) return;
    this.#admit();
    if (this.#running.size === 0) return;
    const writers = [...this.#running].filter((run) => run.unreadTokens === 0);
    const reader = [...this.#running].find((run) => run.unreadTokens > 0);
    const { stepMs, stepMsPerRun: stepPerRunMs, stepsPerEvent } = this.#model;
    const { prefillTokensPerMs: readPerMs, prefillChunkTokens: chunkTokens } =
      this.#model;
    const steps = writers.length > 0 ? stepsPerEvent : 1;
    const read = Math.min(steps * chunkTokens, reader?.unreadTokens ?? 0);
    const runsMs = stepPerRunMs * this.#running.size;
    this.#isStepping = true;
    setTimeout(() => {
      this.#isStepping = false;
      if (reader !== undefined) reader.unreadTokens -= read;
      this.prefilledTokens += read;
      for (const run of writers) this.#advance(run);
      this.#step();
    }, this.slowdownFactor * (steps * (stepMs + runsMs) + read / readPerMs));
  }

  #advance(run: Run): void {
    if (!this.#running.has(run)) return;
    run.onEvent(++run.events);
    if (run.events < run.eventsTotal) return;
    this.#running.delete(run);
    run.onEvent(undefined);
  }
}
