/** Splits the bytes of an event stream into whole events. */

/** A whole event as it stood on the wire, with its closing blank line. */
export interface RawEvent {
  readonly bytes: Buffer;
  /** Its `id` field, or `undefined` if it has none. */
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(?<id>.*)$/m;

/** Holds back the bytes of an event until it is whole. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  private constructor() {}

  /** Starts at the beginning of a stream. */
  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Whether bytes of an unfinished event are held back. */
  get hasPartialEvent(): boolean {
    return this.#rest.length > 0;
  }

  /** Takes bytes in and yields the events that they complete. */
  *push(bytes: Buffer): Generator<RawEvent> {
    this.#rest = this.#rest.length === 0
      ? bytes
      : Buffer.concat([this.#rest, bytes]);
    while (true) {
      const end = endOfEvent(this.#rest);
      if (end === undefined) return;
      const event = this.#rest.subarray(0, end);
      this.#rest = this.#rest.subarray(end);
      yield { bytes: event, id: idOf(event) };
    }
  }
}

/** Returns the position after the first blank line that closes an event. */
function endOfEvent(bytes: Buffer): number | undefined {
  let lineStart = 0;
  let hasField = false;
  while (true) {
    const feed = bytes.indexOf(LINE_FEED, lineStart);
    if (feed < 0) return undefined;
    const lineEnd = bytes[feed - 1] === CARRIAGE_RETURN ? feed - 1 : feed;
    if (lineEnd <= lineStart) {
      if (hasField) return feed + 1;
    } else {
      hasField = true;
    }
    lineStart = feed + 1;
  }
}

function idOf(event: Buffer): string | undefined {
  return ID_FIELD.exec(event.toString("latin1"))?.groups?.id?.trim();
}
