/**
 * Open-loop load generator: sends requests at the times of a seeded schedule,
 * whether or not earlier ones have been answered.
 */

import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CompletionClient } from "../connection/completion_client.ts";
import { DurationHistogram, type Percentiles } from "./duration_histogram.ts";

/** One class of requests in a load. */
export interface LoadClass {
  readonly name: string;
  /** Bearer key of the customer. */
  readonly key: string;
  readonly service: string;
  readonly rank: string;
  /** Mean arrivals per second. */
  readonly ratePerS: number;
  readonly startS: number;
  readonly endS: number;
  readonly promptCharacters: number;
  readonly maxTokens: number;
  /** Target time to the first token, in ms. */
  readonly targetMs: number;
}

/** A load: the classes of requests, and where they are sent. */
export interface LoadProfile {
  /** IP and port of each entry; requests go to them in round-robin order. */
  readonly entries: readonly string[];
  readonly classes: readonly LoadClass[];
  readonly seed: number;
  /** Measurement window for delivered tokens, in s from the start. */
  readonly window: { readonly startS: number; readonly endS: number };
}

/** Results of one class of requests. */
export interface ClassResults {
  readonly name: string;
  readonly sent: number;
  readonly outcomes: Readonly<Record<string, number>>;
  /** Fraction of sent requests whose first token came within `targetMs`. */
  readonly attainment: number;
  /** Time to the first token, in ms. */
  readonly first: Percentiles;
  /** Time to the last token, in ms. */
  readonly total: Percentiles;
  /** Tokens per second delivered in the measurement window. */
  readonly tokensPerS: number;
}

interface Arrival {
  readonly atMs: number;
  readonly loadClass: LoadClass;
}

const MS_PER_S = 1_000;

/** Sends a load; resolves with the results once every request has ended. */
export async function runLoad(
  load: LoadProfile,
): Promise<readonly ClassResults[]> {
  const tallies = new Map(
    load.classes.map((loadClass) => [loadClass, ClassTally.create(loadClass)]),
  );
  const startMs = performance.now();
  const { window } = load;
  const allTallies = [...tallies.values()];
  setTimeout(() => {
    for (const tally of allTallies) tally.openWindow();
  }, window.startS * MS_PER_S);
  setTimeout(() => {
    for (const tally of allTallies) tally.closeWindow();
  }, window.endS * MS_PER_S);
  const requests: Promise<void>[] = [];
  let count = 0;
  for (const { atMs, loadClass } of createSchedule(load)) {
    const waitMs = startMs + atMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    const address = load.entries[count % load.entries.length] ?? "";
    const prompt = createPrompt(loadClass, count++);
    const tally = tallies.get(loadClass);
    if (tally !== undefined) requests.push(tally.sendRequest(address, prompt));
  }
  await Promise.all(requests);
  const windowS = window.endS - window.startS;
  return allTallies.map((tally) => tally.results(windowS));
}

/** Returns the arrivals of all classes, sorted by time. */
function createSchedule({ classes, seed }: LoadProfile): readonly Arrival[] {
  const random = xoroshiro128plus(seed);
  const arrivals: Arrival[] = [];
  for (const loadClass of classes) {
    const meanMs = MS_PER_S / loadClass.ratePerS;
    let atMs = loadClass.startS * MS_PER_S;
    while (true) {
      atMs -= Math.log(1 - uniformFloat64(random)) * meanMs;
      if (atMs >= loadClass.endS * MS_PER_S) break;
      arrivals.push({ atMs, loadClass });
    }
  }
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

function createPrompt(loadClass: LoadClass, index: number): string {
  return `${loadClass.name} ${index} `.padEnd(loadClass.promptCharacters, "x");
}

/** Sends the requests of one class and collects its results. */
class ClassTally {
  readonly #class: LoadClass;
  readonly #firstTokenTimes = DurationHistogram.create();
  readonly #totalTimes = DurationHistogram.create();
  readonly #outcomes: Record<string, number> = {};
  readonly #openClients = new Set<CompletionClient>();
  /** Tokens of responses that have ended. */
  #endedTokens = 0;
  #sent = 0;
  #withinTarget = 0;
  #windowTokens = 0;

  private constructor(loadClass: LoadClass) {
    this.#class = loadClass;
  }

  static create(loadClass: LoadClass): ClassTally {
    return new ClassTally(loadClass);
  }

  openWindow(): void {
    this.#windowTokens -= this.#deliveredTokens();
  }

  closeWindow(): void {
    this.#windowTokens += this.#deliveredTokens();
  }

  async sendRequest(address: string, prompt: string): Promise<void> {
    this.#sent++;
    const { key, service, rank, maxTokens, targetMs } = this.#class;
    const client = CompletionClient.create({
      address,
      key,
      service,
      rank,
      prompt,
      maxTokens,
    });
    this.#openClients.add(client);
    const { outcome } = await client.ended;
    this.#openClients.delete(client);
    this.#endedTokens += client.tokenCount;
    this.#outcomes[outcome] = (this.#outcomes[outcome] ?? 0) + 1;
    if (Number.isNaN(client.firstEventMs)) return;
    this.#firstTokenTimes.record(client.firstEventMs);
    this.#totalTimes.record(client.totalMs);
    if (client.firstEventMs <= targetMs) this.#withinTarget++;
  }

  results(windowS: number): ClassResults {
    const { name } = this.#class;
    return {
      name,
      sent: this.#sent,
      outcomes: this.#outcomes,
      attainment: this.#sent === 0 ? 1 : this.#withinTarget / this.#sent,
      first: this.#firstTokenTimes.percentiles(),
      total: this.#totalTimes.percentiles(),
      tokensPerS: this.#windowTokens / windowS,
    };
  }

  #deliveredTokens(): number {
    let tokens = this.#endedTokens;
    for (const client of this.#openClients) tokens += client.tokenCount;
    return tokens;
  }
}
