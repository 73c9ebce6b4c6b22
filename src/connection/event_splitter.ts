/** Splits the bytes of an event stream into complete events. */

/** A complete event as on the wire, with its closing blank line. */
export interface RawEvent {
  readonly bytes: Buffer;
  /** Its `id` field, or `undefined` if it has none. */
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(?<id>.*)$/m;

/** Buffers the bytes of an event until it is complete. */
export class EventSplitter {
  #buffered: Buffer = Buffer.alloc(0);

  private constructor() {}

  /** Creates a splitter for a new stream. */
  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.#buffered.length > 0;
  }

  /** Appends bytes and yields the events that they complete. */
  *push(bytes: Buffer): Generator<RawEvent> {
    this.#buffered = this.#buffered.length === 0
      ? bytes
      : Buffer.concat([this.#buffered, bytes]);
    while (true) {
      const end = endOfEvent(this.#buffered);
      if (end === undefined) return;
      const event = this.#buffered.subarray(0, end);
      this.#buffered = this.#buffered.subarray(end);
      yield { bytes: event, id: idOf(event) };
    }
  }
}

/** Returns the offset after the first blank line that closes an event. */
function endOfEvent(bytes: Buffer): number | undefined {
  let lineStart = 0;
  let hasField = false;
  while (true) {
    const lineFeed = bytes.indexOf(LINE_FEED, lineStart);
    if (lineFeed < 0) return undefined;
    const lineEnd = bytes[lineFeed - 1] === CARRIAGE_RETURN
      ? lineFeed - 1
      : lineFeed;
    if (lineEnd <= lineStart) {
      if (hasField) return lineFeed + 1;
    } else {
      hasField = true;
    }
    lineStart = lineFeed + 1;
  }
}

function idOf(event: Buffer): string | undefined {
  return ID_FIELD.exec(event.toString("latin1"))?.groups?.id?.trim();
}
