/** Branded identifier types, so that ids of different kinds can't be mixed. */

/** A nominal subtype of `Value`. */
export type Brand<Value, Name extends string> = Value & {
  readonly brand: Name;
};

/** Identifies a caller's request within one entry. */
export type RequestId = Brand<string, "request">;
/** Identifies a generation: the response being produced for one request. */
export type GenerationId = Brand<string, "generation">;
/** Identifies a token stream on one backend server. */
export type StreamId = Brand<string, "stream">;
/** Identifies an entry process. */
export type EntryId = Brand<string, "entry">;
/** Identifies an attempt to perform a non-idempotent action. */
export type ActionAttemptId = Brand<string, "attempt">;
/** SHA-256 of a content-addressed value, in hexadecimal. */
export type ContentHash = Brand<string, "hash">;
/** SHA-256 of the fields that identify equal requests, in hexadecimal. */
export type Fingerprint = Brand<string, "fingerprint">;
/** Names a request or a part of a prompt that may crash backend servers. */
export type CrashCause = Brand<string, "crash cause">;
/** Identifies a part of a prompt that requests may share. */
export type PromptPart = Brand<string, "prompt part">;
/** Number of a published deployment; each publish increments it by 1. */
export type Revision = Brand<number, "revision">;

/** Revision of the platform's store, or of one object in it. */
export type ObjectRevision = Brand<number, "object revision">;

/** Revision of a process that has not adopted a deployment yet. */
export const NO_REVISION = 0 as Revision;
