/** The part of the model engines' published protocol that is used here. */

import type { RequestId, StreamId } from "../ids.ts";

/** Body of `POST /v1/streams`, which starts a stream of tokens. */
export interface StartStreamRequest {
  readonly stream: StreamId;
  readonly request: RequestId;
  readonly model: string;
  readonly modelVersion: string;
  readonly prompt: string;
  /** Text generated so far; `position` is its length in tokens. */
  readonly journal: string;
  readonly position: number;
  readonly maxTokens: number;
  /** Lower values run first. */
  readonly priority: number;
}

/** Why a stream ended. */
export enum FinishReason {
  Length = "length",
  Stop = "stop",
}

/** One event of a stream: a token or the end. */
export interface StreamEvent {
  /** Position of the token, from 0; in the end event, the number of tokens. */
  readonly p: number;
  /** Text of the token. */
  readonly t?: string;
  readonly end?: FinishReason;
}

/** Response of `GET /v1/load`, which may be stale. */
export interface LoadReport {
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
  /** Whether the server is about to stop and accepts no new requests. */
  readonly leaving: boolean;
  readonly modelVersion: string;
}

/** Whether a parsed response has all fields of a load report. */
export function isLoadReport(value: unknown): value is LoadReport {
  if (typeof value !== "object" || value === null) return false;
  const { slots, running, queued, leaving, modelVersion } = value as Partial<
    Record<keyof LoadReport, unknown>
  >;
  return [slots, running, queued].every((count) => Number.isFinite(count)) &&
    typeof leaving === "boolean" && typeof modelVersion === "string";
}

/** Response of `DELETE /v1/streams/ID`, which cancels a stream. */
export interface StreamCancelled {
  /** Whether any part of the stream has run. */
  readonly ran: boolean;
}

/** Header with the model version of a stream. */
export const MODEL_VERSION_HEADER = "x-model-version";
/** Path of the load report, on every kind of backend server. */
export const LOAD_PATH = "/v1/load";
/** Path under which streams are started, read and cancelled. */
export const STREAMS_PATH = "/v1/streams";
