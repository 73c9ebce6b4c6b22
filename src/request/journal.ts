/**
 * The accepted text of one generation. A token is taken only at the next
 * position, whichever attempt it comes from.
 */

import {
  FinishReason,
  type StreamEvent,
} from "../connection/engine_protocol.ts";
import { TextHash } from "./text_hash.ts";

/** What a batch of events added to a journal. */
export interface JournalUpdate {
  /** Text to deliver, empty when the caller has it already. */
  readonly text: string;
  /** Position after the accepted tokens. */
  readonly position: number;
  /** Hash of the whole text up to `position`. */
  readonly textHash: string;
  /** Set once the generation has ended. */
  readonly finishReason: FinishReason | undefined;
  /** Set when a token arrived beyond the next position and was not taken. */
  readonly gap: string | undefined;
}

const PARTS_MAX = 64;

/** Text and position of one generation; only grows. */
export class Journal {
  readonly #maxTokens: number;
  readonly #hash = TextHash.create();
  #text = "";
  /** Parts not joined to the text yet; joined text takes the least memory. */
  #parts: string[] = [];
  #position = 0;

  private constructor(maxTokens: number) {
    this.#maxTokens = maxTokens;
  }

  /** Starts an empty journal of at most `maxTokens`. */
  static create(maxTokens: number): Journal {
    return new Journal(maxTokens);
  }

  /** Goes on after text that has been checked against its cursor. */
  static restore(
    maxTokens: number,
    held: { readonly text: string; readonly position: number },
  ): Journal {
    const journal = new Journal(maxTokens);
    journal.#append(held.text);
    journal.#position = held.position;
    return journal;
  }

  /** The text of all accepted tokens. */
  get text(): string {
    this.#join();
    return this.#text;
  }

  /** Position of the next token. */
  get position(): number {
    return this.#position;
  }

  /** Hash of the text of all accepted tokens. */
  get textHash(): string {
    return this.#hash.digest();
  }

  /** Whether the text has its full length, even if no end was seen. */
  get isFull(): boolean {
    return this.#position >= this.#maxTokens;
  }

  /** Takes events of the current attempt in, up to the first gap. */
  accept(events: readonly StreamEvent[]): JournalUpdate {
    let text = "";
    let finish: FinishReason | undefined;
    let gap: string | undefined;
    for (const event of events) {
      if (event.p < this.#position) continue;
      if (event.p > this.#position) {
        gap = `position ${event.p} instead of ${this.#position}`;
        break;
      }
      if (event.end !== undefined) {
        finish = event.end;
        break;
      }
      text += event.t ?? "";
      this.#position++;
    }
    this.#append(text);
    if (this.isFull) finish ??= FinishReason.Length;
    const position = this.#position;
    return {
      text,
      position,
      textHash: this.textHash,
      finishReason: finish,
      gap,
    };
  }

  #append(text: string): void {
    this.#parts.push(text);
    if (this.#parts.length >= PARTS_MAX) this.#join();
    this.#hash.update(text);
  }

  #join(): void {
    if (this.#parts.length === 0) return;
    this.#text = [this.#text, ...this.#parts].join("");
    this.#parts = [];
  }
}
