/** The published protocol of the model engines, as far as the system uses it. */

import type { RequestId, StreamId } from "../ids.ts";

/** Body of `POST /v1/streams`, which starts a stream of tokens. */
export interface StartStreamRequest {
  readonly stream: StreamId;
  readonly request: RequestId;
  readonly model: string;
  readonly modelVersion: string;
  readonly prompt: string;
  /** Text generated so far, and its length in tokens. */
  readonly journal: string;
  readonly position: number;
  readonly maxTokens: number;
  /** Lower runs first. */
  readonly priority: number;
}

/** Why a stream ended. */
export enum FinishReason {
  Length = "length",
  Stop = "stop",
}

/** One event of a stream: a token or the end. */
export interface StreamEvent {
  /** Position of the token, from 0; at the end, the count of tokens. */
  readonly p: number;
  /** Text of the token. */
  readonly t?: string;
  readonly end?: FinishReason;
}

/** Answer of `GET /v1/load`, which lags behind the truth. */
export interface LoadReport {
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
  /** The server stops soon and wants no new work. */
  readonly leaving: boolean;
  readonly modelVersion: string;
}

/** Answer of `DELETE /v1/streams/ID`, which cancels a stream. */
export interface StreamCancelled {
  /** Whether any part of the stream has run. */
  readonly ran: boolean;
}

/** Header that names the model version of a stream. */
export const MODEL_VERSION_HEADER = "x-model-version";
/** Path of the load report, on every kind of backend server. */
export const LOAD_PATH = "/v1/load";
/** Path under which streams are started, read and cancelled. */
export const STREAMS_PATH = "/v1/streams";
