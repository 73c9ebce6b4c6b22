/**
 * Open-loop load: requests are sent at the times of a seeded schedule, whether
 * or not earlier ones have been answered.
 */

import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CompletionClient } from "../connection/completion_client.ts";
import { DurationHistogram, type Percentiles } from "./duration_histogram.ts";

/** One kind of request in a load. */
export interface LoadClass {
  readonly name: string;
  /** Bearer key of the customer. */
  readonly key: string;
  readonly service: string;
  readonly rank: string;
  /** Mean arrivals in a second. */
  readonly ratePerS: number;
  readonly startS: number;
  readonly endS: number;
  readonly promptCharacters: number;
  readonly maxTokens: number;
  /** Target time to the first token, in ms. */
  readonly targetMs: number;
}

/** A whole load. */
export interface LoadProfile {
  /** IP and port of each entry; they take turns. */
  readonly entries: readonly string[];
  readonly classes: readonly LoadClass[];
  readonly seed: number;
  /** Time in which delivered tokens are counted, in s from the start. */
  readonly window: { readonly startS: number; readonly endS: number };
}

/** What became of one class. */
export interface ClassResults {
  readonly name: string;
  readonly sent: number;
  readonly outcomes: Readonly<Record<string, number>>;
  /** Share of sent requests whose first token came in the target time. */
  readonly attainment: number;
  /** Time to the first token, in ms. */
  readonly first: Percentiles;
  /** Time to the last token, in ms. */
  readonly total: Percentiles;
  /** Tokens delivered in the load's window, in a second. */
  readonly tokensPerS: number;
}

interface Arrival {
  readonly atMs: number;
  readonly loadClass: LoadClass;
}

const MS_PER_S = 1_000;

/** Sends a load and resolves once every request has ended. */
export async function runLoad(
  load: LoadProfile,
): Promise<readonly ClassResults[]> {
  const tallies = new Map(
    load.classes.map((loadClass) => [loadClass, ClassTally.create(loadClass)]),
  );
  const startMs = performance.now();
  const { window } = load;
  const all = [...tallies.values()];
  setTimeout(() => {
    for (const tally of all) tally.openWindow();
  }, window.startS * MS_PER_S);
  setTimeout(() => {
    for (const tally of all) tally.closeWindow();
  }, window.endS * MS_PER_S);
  const asks: Promise<void>[] = [];
  let count = 0;
  for (const { atMs, loadClass } of schedule(load)) {
    const waitMs = startMs + atMs - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    const address = load.entries[count % load.entries.length] ?? "";
    const prompt = createPrompt(loadClass, count++);
    const tally = tallies.get(loadClass);
    if (tally !== undefined) asks.push(tally.ask(address, prompt));
  }
  await Promise.all(asks);
  const windowS = window.endS - window.startS;
  return all.map((tally) => tally.figures(windowS));
}

/** Returns the arrivals of all classes in the order of their times. */
function schedule({ classes, seed }: LoadProfile): readonly Arrival[] {
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

/** Counts what becomes of one class. */
class ClassTally {
  readonly #class: LoadClass;
  readonly #first = DurationHistogram.create();
  readonly #total = DurationHistogram.create();
  readonly #outcomes: Record<string, number> = {};
  readonly #open = new Set<CompletionClient>();
  /** Tokens of answers that have ended. */
  #ended = 0;
  #sent = 0;
  #inTarget = 0;
  #tokens = 0;

  private constructor(loadClass: LoadClass) {
    this.#class = loadClass;
  }

  static create(loadClass: LoadClass): ClassTally {
    return new ClassTally(loadClass);
  }

  openWindow(): void {
    this.#tokens -= this.#delivered();
  }

  closeWindow(): void {
    this.#tokens += this.#delivered();
  }

  async ask(address: string, prompt: string): Promise<void> {
    this.#sent++;
    const { key, service, rank, maxTokens, targetMs } = this.#class;
    const caller = CompletionClient.create({
      address,
      key,
      service,
      rank,
      prompt,
      maxTokens,
    });
    this.#open.add(caller);
    const { outcome } = await caller.ended;
    this.#open.delete(caller);
    this.#ended += caller.tokenCount;
    this.#outcomes[outcome] = (this.#outcomes[outcome] ?? 0) + 1;
    if (Number.isNaN(caller.firstEventMs)) return;
    this.#first.record(caller.firstEventMs);
    this.#total.record(caller.totalMs);
    if (caller.firstEventMs <= targetMs) this.#inTarget++;
  }

  figures(windowS: number): ClassResults {
    const { name } = this.#class;
    return {
      name,
      sent: this.#sent,
      outcomes: this.#outcomes,
      attainment: this.#sent === 0 ? 1 : this.#inTarget / this.#sent,
      first: this.#first.percentiles(),
      total: this.#total.percentiles(),
      tokensPerS: this.#tokens / windowS,
    };
  }

  #delivered(): number {
    let tokens = this.#ended;
    for (const caller of this.#open) tokens += caller.tokenCount;
    return tokens;
  }
}
