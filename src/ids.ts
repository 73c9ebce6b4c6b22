/** Branded identifiers, so that one kind of id can't stand in for another. */

/** A value of one meaning, kept apart from others of the same base type. */
export type Brand<Value, Name extends string> = Value & {
  readonly brand: Name;
};

/** Names one caller's request inside one entry. */
export type RequestId = Brand<string, "request">;
/** Names one generation: the single answer being produced for a request. */
export type GenerationId = Brand<string, "generation">;
/** Names one stream of tokens on one backend server. */
export type StreamId = Brand<string, "stream">;
/** Names one entry process. */
export type EntryId = Brand<string, "entry">;
/** Names one attempt to perform a non-idempotent action. */
export type ActionAttemptId = Brand<string, "attempt">;
/** SHA-256 of a content-addressed value, in hexadecimal. */
export type ContentHash = Brand<string, "hash">;
/** SHA-256 over what makes two requests the same, in hexadecimal. */
export type Fingerprint = Brand<string, "fingerprint">;
/** Number of a published configuration; grows by one with each publish. */
export type Revision = Brand<number, "revision">;

/** Revision of the platform's store, or of one object in it. */
export type ObjectRevision = Brand<number, "object revision">;

/** The revision held before any configuration has been adopted. */
export const NO_REVISION = 0 as Revision;
