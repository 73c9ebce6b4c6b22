/** Parses a completion request from an untrusted body. */

import { PROMPT_MAX_CHARACTERS } from "../constants.ts";
import { RequestError, RequestErrorType } from "../errors.ts";
import { hashParts } from "../hashing.ts";
import type { Fingerprint } from "../ids.ts";
import type { Deployment } from "../version/deployment.ts";
import {
  type Customer,
  type Model,
  type Rank,
  type Service,
  ServiceForm,
} from "../version/types.ts";
import { type Cursor, parseCursor } from "./cursor.ts";
import { hashResponseText } from "./text_hash.ts";

/** A validated completion request. */
export interface CompletionRequest {
  readonly customer: Customer;
  readonly service: Service;
  readonly model: Model;
  readonly rank: Rank;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly isStreamed: boolean;
  /** The same for requests with equal service, prompt and token limit. */
  readonly fingerprint: Fingerprint;
  /**
   * The same for requests with equal service and prompt, which crash a server
   * alike, regardless of their token limit.
   */
  readonly crashFingerprint: Fingerprint;
  /** Where a repeated request resumes; absent on a new request. */
  readonly resumption: Resumption | undefined;
}

/** The part of an earlier response that the caller has received. */
export interface Resumption {
  readonly cursor: Cursor;
  /** The text received, when the caller sent it. */
  readonly text: string | undefined;
}

/** Input of `parseCompletionRequest`. */
export interface CompletionInput {
  readonly body: Buffer;
  readonly customer: Customer;
  readonly deployment: Deployment;
  /** Value of the `Last-Event-ID` header. */
  readonly lastEventId: string | undefined;
  readonly cursorKey: string;
}

interface CompletionFields {
  readonly model: string;
  readonly prompt: string;
  readonly max_tokens: number;
  readonly stream: boolean;
  readonly rank: string | undefined;
  readonly resume_text: string | undefined;
}

const DEFAULT_MAX_TOKENS = 256;
const CHARACTERS_PER_TOKEN = 4;

/** Parses a request. Errors: a `RequestError` that names all invalid fields. */
export function parseCompletionRequest(
  input: CompletionInput,
): CompletionRequest {
  const { customer, deployment } = input;
  const fields = parseFields(input.body);
  const service = deployment.service(fields.model);
  const isAvailable = service?.form === ServiceForm.Generation &&
    customer.services.includes(service.name);
  const model = deployment.model(service?.model ?? "");
  if (service === undefined || model === undefined || !isAvailable) {
    throw new RequestError(
      RequestErrorType.NotFound,
      `model: unknown "${fields.model}"`,
    );
  }
  const rank = findRank(input, fields.rank ?? service.rank);
  const maxTokens = Math.min(fields.max_tokens, model.maxTokens);
  const parts = [service.name, fields.prompt, String(maxTokens)];
  const fingerprint = hashParts(parts) as string as Fingerprint;
  const crashParts = ["crash", service.name, fields.prompt];
  const request = {
    customer,
    service,
    model,
    rank,
    prompt: fields.prompt,
    maxTokens,
    isStreamed: fields.stream,
    fingerprint,
    crashFingerprint: hashParts(crashParts) as string as Fingerprint,
  };
  const resumption = parseResumption(input, {
    fingerprint,
    text: fields.resume_text,
  });
  return { ...request, resumption };
}

/** Returns the estimated cost of a request, in tokens. */
export function estimateCost(request: CompletionRequest): number {
  const promptTokens = Math.ceil(request.prompt.length / CHARACTERS_PER_TOKEN);
  return promptTokens + request.maxTokens;
}

function parseFields(body: Buffer): CompletionFields {
  const value = parseObject(body);
  const problems: string[] = [];
  const check = (isValid: boolean, problem: string) => {
    if (!isValid) problems.push(problem);
  };
  const { model, prompt, rank, resume_text: resumeText } = value;
  const maxTokens = value.max_tokens ?? DEFAULT_MAX_TOKENS;
  const stream = value.stream ?? false;
  check(typeof model === "string", "model: must be a string");
  check(
    typeof prompt === "string" && prompt.length <= PROMPT_MAX_CHARACTERS,
    `prompt: must be a string of at most ${PROMPT_MAX_CHARACTERS} characters`,
  );
  check(
    Number.isInteger(maxTokens) && Number(maxTokens) > 0,
    "max_tokens: must be a whole number above 0",
  );
  check(typeof stream === "boolean", "stream: must be true or false");
  check(
    rank === undefined || typeof rank === "string",
    "rank: must be a string",
  );
  check(
    resumeText === undefined || typeof resumeText === "string",
    "resume_text: must be a string",
  );
  if (problems.length > 0) {
    throw new RequestError(
      RequestErrorType.InvalidRequest,
      problems.join("; "),
    );
  }
  return { ...value, max_tokens: maxTokens, stream } as CompletionFields;
}

function parseObject(body: Buffer): Record<string, unknown> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString());
  } catch (error) {
    throw new RequestError(
      RequestErrorType.InvalidRequest,
      `body: not JSON: ${(error as Error).message}`,
    );
  }
  if (typeof value === "object" && value !== null && !Array.isArray(value)) {
    return value as Record<string, unknown>;
  }
  throw new RequestError(
    RequestErrorType.InvalidRequest,
    "body: must be an object",
  );
}

function findRank(input: CompletionInput, name: string): Rank {
  const rank = input.deployment.rank(name);
  if (rank === undefined || !input.customer.ranks.includes(name)) {
    throw new RequestError(
      RequestErrorType.InvalidRequest,
      `rank: "${name}" is not allowed for this customer`,
    );
  }
  return rank;
}

function parseResumption(
  input: CompletionInput,
  request: {
    readonly fingerprint: Fingerprint;
    readonly text: string | undefined;
  },
): Resumption | undefined {
  if (input.lastEventId === undefined) return undefined;
  const cursor = parseCursor(input.cursorKey, input.lastEventId);
  const isSameRequest = cursor.customer === input.customer.name &&
    cursor.fingerprint === request.fingerprint;
  if (!isSameRequest) {
    throw new RequestError(
      RequestErrorType.Conflict,
      "Last-Event-ID: cursor belongs to another request",
    );
  }
  if (
    request.text !== undefined &&
    hashResponseText(request.text) !== cursor.textHash
  ) {
    throw new RequestError(
      RequestErrorType.Conflict,
      "resume_text: must equal the text delivered up to the cursor",
    );
  }
  return { cursor, text: request.text };
}
