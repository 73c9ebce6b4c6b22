/** Client of the completions API that records the streamed response. */

import { type ClientRequest, request } from "node:http";
import { performance } from "node:perf_hooks";
import { createParser } from "eventsource-parser";
import { splitAddress } from "./address.ts";

/** Parameters of a completion request. */
export interface CompletionClientOptions {
  /** IP and port of an entry. */
  readonly address: string;
  /** Bearer key of the customer. */
  readonly key: string;
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly rank?: string;
  /** Cursor of the last event received earlier. */
  readonly lastEventId?: string;
  readonly resumeText?: string;
}

/** How a response ended. */
export interface CompletionResult {
  readonly status: number;
  /** `done`, the type of an error, or `cut` when the connection closed. */
  readonly outcome: string;
  readonly message: string;
}

/** Largest event or error response, in characters; they have some hundred. */
const PENDING_MAX_CHARACTERS = 131_072;

/** A streamed response and the timing of its events. */
export class CompletionClient {
  readonly #outgoing: ClientRequest;
  readonly #startMs = performance.now();
  readonly #waiters = new Set<() => void>();
  readonly ended: Promise<CompletionResult>;
  #text = "";
  #cursor = "";
  #eventCount = 0;
  #firstEventMs = Number.NaN;
  #lastEventMs = 0;
  readonly #eventGapsMs: number[] = [];
  #result: CompletionResult | undefined;

  private constructor(options: CompletionClientOptions) {
    const { host, port } = splitAddress(options.address);
    const body = JSON.stringify({
      model: options.service,
      prompt: options.prompt,
      max_tokens: options.maxTokens,
      stream: true,
      rank: options.rank,
      resume_text: options.resumeText,
    });
    this.#outgoing = request({
      host,
      port,
      method: "POST",
      path: "/v1/completions",
      agent: false,
      headers: {
        authorization: `Bearer ${options.key}`,
        "content-type": "application/json",
        ...(options.lastEventId === undefined
          ? {}
          : { "last-event-id": options.lastEventId }),
      },
    });
    this.ended = this.#receive();
    this.#outgoing.end(body);
  }

  /** Sends the request. */
  static create(options: CompletionClientOptions): CompletionClient {
    return new CompletionClient(options);
  }

  /** Number of events received. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** The text received so far. */
  get text(): string {
    return this.#text;
  }

  /** Number of tokens received; each begins with a space. */
  get tokenCount(): number {
    return this.#text.split(" ").length - 1;
  }

  /** Cursor of the last event, for resuming the stream. */
  get cursor(): string {
    return this.#cursor;
  }

  /** Time to the first event, in ms. */
  get firstEventMs(): number {
    return this.#firstEventMs;
  }

  /** Times between consecutive events, in ms. */
  get eventGapsMs(): readonly number[] {
    return this.#eventGapsMs;
  }

  /** Longest time between consecutive events, in ms. */
  get longestEventGapMs(): number {
    return Math.max(0, ...this.#eventGapsMs);
  }

  /** Time from the request to its last event, in ms. */
  get totalMs(): number {
    return this.#lastEventMs - this.#startMs;
  }

  /** Disconnects without waiting for the end. */
  close(): void {
    this.#outgoing.destroy();
  }

  /** Resolves once `count` tokens have arrived or the response has ended. */
  async waitForTokens(count: number): Promise<void> {
    while (this.tokenCount < count && this.#result === undefined) {
      await new Promise<void>((resolve) => this.#waiters.add(resolve));
    }
  }

  #receive(): Promise<CompletionResult> {
    return new Promise((resolve) => {
      let status = 0;
      const finish = (outcome: string, message = "") => {
        if (this.#result !== undefined) return;
        this.#result = { status, outcome, message };
        this.#wakeWaiters();
        resolve(this.#result);
      };
      // Bytes that are no response of an entry end the request.
      const tryToParse = (step: () => void) => {
        try {
          step();
        } catch {
          finish("cut");
          this.#outgoing.destroy();
        }
      };
      let pendingCharacters = 0;
      const parser = createParser({
        onEvent: ({ event, data, id }) => {
          pendingCharacters = 0;
          if (data === "[DONE]") return finish("done");
          const value = JSON.parse(data);
          if (event === "error") {
            return finish(value.error.type, value.error.message);
          }
          this.#recordEvent(value.choices[0].text, id ?? "");
        },
      });
      this.#outgoing.once("response", (response) => {
        status = response.statusCode ?? 0;
        response.setEncoding("utf8");
        let body = "";
        response.on("data", (text: string) => {
          pendingCharacters += text.length;
          tryToParse(() => {
            if (status === 200) parser.feed(text);
            else body += text;
            checkLength(pendingCharacters);
          });
        });
        response.once("error", () => finish("cut"));
        response.once("close", () => {
          if (status === 200) return finish("cut");
          tryToParse(() => {
            const { error } = JSON.parse(body);
            finish(error.type, error.message);
          });
        });
      });
      this.#outgoing.once("close", () => {
        if (status === 0) finish("cut");
      });
      this.#outgoing.on("error", () => finish("cut"));
    });
  }

  #recordEvent(text: string, cursor: string): void {
    const now = performance.now();
    if (this.#eventCount === 0) this.#firstEventMs = now - this.#startMs;
    else this.#eventGapsMs.push(now - this.#lastEventMs);
    this.#eventCount++;
    this.#lastEventMs = now;
    this.#text += text;
    this.#cursor = cursor;
    this.#wakeWaiters();
  }

  #wakeWaiters(): void {
    for (const wake of this.#waiters) wake();
    this.#waiters.clear();
  }
}

/** Errors: throws if an event or error response is too large. */
function checkLength(characters: number): void {
  if (characters <= PENDING_MAX_CHARACTERS) return;
  throw new Error(`more than ${PENDING_MAX_CHARACTERS} characters`);
}
