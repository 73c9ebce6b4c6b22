/** Splits the bytes of an event stream into complete events. */

import { AttemptError, FailureCause } from "../errors.ts";
import { GrowableBuffer } from "./growable_buffer.ts";

/** A complete event as on the wire, with its closing blank line. */
export interface RawEvent {
  readonly bytes: Buffer;
  /** Its `id` field, or `undefined` if it has none. */
  readonly id: string | undefined;
}

/** Largest event, in bytes; servers send some hundred bytes. */
export const EVENT_MAX_BYTES = 131_072;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** A line that is not blank, a comment, or a field with or without a value. */
const DAMAGED_LINE = /(?:^|\n)(?!:|[A-Za-z][\w-]*(?::|\r?\n)|\r?\n|$)/;
const ID_FIELD = /^id: ?(?<id>.*)$/m;

/** Buffers the bytes of an event until it is complete. */
export class EventSplitter {
  readonly #partial = GrowableBuffer.create();
  /** Whether the partial event has a line that is not blank. */
  #hasField = false;
  /** Bytes of the last, incomplete line of the partial event. */
  #lineLength = 0;
  #lastByte = 0;

  private constructor() {}

  /** Creates a splitter for a new stream. */
  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.#partial.length > 0;
  }

  /**
   * Appends bytes and yields the events that they complete.
   *
   * Errors: `AttemptError` when an event exceeds `EVENT_MAX_BYTES` or has a
   * line that is no field, as when other bytes follow a stream.
   */
  *push(bytes: Buffer): Generator<RawEvent> {
    let eventStart = 0;
    let lineStart = 0;
    while (true) {
      const lineFeed = bytes.indexOf(LINE_FEED, lineStart);
      if (lineFeed < 0) break;
      const isBlank = this.#isBlankLine(bytes.subarray(lineStart, lineFeed));
      lineStart = lineFeed + 1;
      this.#lineLength = 0;
      if (!isBlank) this.#hasField = true;
      else if (this.#hasField) {
        const event = this.#complete(bytes.subarray(eventStart, lineStart));
        eventStart = lineStart;
        yield parseEvent(event);
      }
    }
    this.#keep(bytes.subarray(eventStart), bytes.length - lineStart);
  }

  /** Whether a line is blank that ends with `rest`. */
  #isBlankLine(rest: Buffer): boolean {
    const length = this.#lineLength + rest.length;
    const lastByte = rest.at(-1) ?? this.#lastByte;
    return length === 0 || (length === 1 && lastByte === CARRIAGE_RETURN);
  }

  #complete(rest: Buffer): Buffer {
    this.#hasField = false;
    this.#checkLength(rest);
    if (this.#partial.length === 0) return rest;
    this.#partial.append(rest);
    return this.#partial.take();
  }

  #keep(rest: Buffer, lineLength: number): void {
    if (rest.length === 0) return;
    this.#checkLength(rest);
    this.#partial.append(rest);
    this.#lineLength += lineLength;
    this.#lastByte = rest.at(-1) ?? 0;
  }

  #checkLength(rest: Buffer): void {
    if (this.#partial.length + rest.length <= EVENT_MAX_BYTES) return;
    throw new AttemptError(
      FailureCause.Closed,
      `event exceeds ${EVENT_MAX_BYTES} bytes`,
    );
  }
}

/** Errors: `AttemptError` if a line is neither a field nor a comment. */
function parseEvent(bytes: Buffer): RawEvent {
  const text = bytes.toString("latin1");
  if (DAMAGED_LINE.test(text)) {
    throw new AttemptError(
      FailureCause.Closed,
      "event has a line that is no field",
    );
  }
  return { bytes, id: ID_FIELD.exec(text)?.groups?.id?.trim() };
}
