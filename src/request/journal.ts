/**
 * The accepted text of one generation. A token is accepted only at the next
 * position, whichever attempt it comes from.
 */

import {
  FinishReason,
  type StreamEvent,
} from "../connection/engine_protocol.ts";
import { TextHash } from "./text_hash.ts";

/** What a batch of events added to the journal. */
export interface JournalUpdate {
  /** Newly accepted text, empty when the journal already held all of it. */
  readonly text: string;
  /** Position after the accepted tokens. */
  readonly position: number;
  /** Hash of all text up to `position`. */
  readonly textHash: string;
  /** Set once the generation has ended. */
  readonly finishReason: FinishReason | undefined;
  /** Describes a token beyond the next position, which was not accepted. */
  readonly gap: string | undefined;
}

/** Number of pending parts at which they are joined to the text. */
const PENDING_PARTS_MAX = 64;

/** The accepted text and position of one generation; both only grow. */
export class Journal {
  readonly #maxTokens: number;
  readonly #hash = TextHash.create();
  #text = "";
  /** Parts not yet joined to the text; a joined string takes less memory. */
  #pendingParts: string[] = [];
  #position = 0;

  private constructor(maxTokens: number) {
    this.#maxTokens = maxTokens;
  }

  /** Creates an empty journal for at most `maxTokens` tokens. */
  static create(maxTokens: number): Journal {
    return new Journal(maxTokens);
  }

  /** Creates a journal with text that was verified against its cursor. */
  static restore(
    maxTokens: number,
    accepted: { readonly text: string; readonly position: number },
  ): Journal {
    const journal = new Journal(maxTokens);
    journal.#append(accepted.text);
    journal.#position = accepted.position;
    return journal;
  }

  /** The text of all accepted tokens. */
  get text(): string {
    this.#joinParts();
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

  /** Whether it holds `maxTokens` tokens, even if no end event arrived. */
  get isFull(): boolean {
    return this.#position >= this.#maxTokens;
  }

  /** Accepts events of the current attempt up to the first gap. */
  accept(events: readonly StreamEvent[]): JournalUpdate {
    let text = "";
    let finishReason: FinishReason | undefined;
    let gap: string | undefined;
    for (const event of events) {
      if (event.p < this.#position) continue;
      if (event.p > this.#position) {
        gap = `got position ${event.p}, expected ${this.#position}`;
        break;
      }
      if (event.end !== undefined) {
        finishReason = event.end;
        break;
      }
      text += event.t ?? "";
      this.#position++;
    }
    this.#append(text);
    if (this.isFull) finishReason ??= FinishReason.Length;
    const position = this.#position;
    return {
      text,
      position,
      textHash: this.textHash,
      finishReason,
      gap,
    };
  }

  #append(text: string): void {
    this.#pendingParts.push(text);
    if (this.#pendingParts.length >= PENDING_PARTS_MAX) this.#joinParts();
    this.#hash.update(text);
  }

  #joinParts(): void {
    if (this.#pendingParts.length === 0) return;
    this.#text = [this.#text, ...this.#pendingParts].join("");
    this.#pendingParts = [];
  }
}
