/**
 * Keeps requests that crash backend servers, or have a part of a prompt that
 * does, from running, and tells the account of crashes what each run shows.
 */

import { RequestError, RequestErrorType } from "../errors.ts";
import { hashParts } from "../hashing.ts";
import type { CrashCause, PromptPart } from "../ids.ts";
import {
  requestCause,
  type RequestCauses,
  RunStage,
} from "../process/crash_evidence.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import type { RelayContext } from "../process/relay_context.ts";
import type { AttemptRecord } from "./attempt_history.ts";
import { type ProxyRequest, RequestKind } from "./proxy_request.ts";

/** Time after its first event in which a run would crash its server, in ms. */
const PROOF_MS = 250;
/** Longest name of a part, service or zone in evidence, in characters. */
const PART_MAX_CHARACTERS = 48;
/** Characters of a hash that stand for a request or a part. */
const HASH_CHARACTERS = 16;
/** Characters of a hash that stand for a server. */
const SERVER_HASH_CHARACTERS = 8;
const MS_PER_S = 1_000;

/** What is known of a request as a possible cause of crashes. */
export class CrashGuard {
  readonly #context: RelayContext;
  readonly #causes: RequestCauses;
  #isProven = false;

  private constructor(context: RelayContext, request: ProxyRequest) {
    this.#context = context;
    this.#causes = causesOf(request);
  }

  /** Creates the guard of a request that has not run. */
  static create(context: RelayContext, request: ProxyRequest): CrashGuard {
    return new CrashGuard(context, request);
  }

  /** Whether a run has lasted long enough to show that it crashes no server. */
  get isProven(): boolean {
    return this.#isProven;
  }

  /** Returns why the request must no longer run, if so. */
  rejection(): RequestError | undefined {
    if (this.#isProven) return undefined;
    return crashRejection(this.#context, this.#causes);
  }

  /** Records that the request is sent to a server. */
  recordAttempt(): void {
    this.#context.crashAccount.recordAttempt(this.#causes);
  }

  /** Records events of an attempt. */
  recordEvents(record: AttemptRecord, count: number): void {
    const { now, crashAccount } = this.#context;
    record.eventCount += count;
    record.firstEventMs ??= now();
    if (record.isProven || !isHarmlessRun(record, now())) return;
    record.isProven = true;
    this.#isProven = true;
    crashAccount.recordProof(this.#causes.parts, record.firstEventMs);
  }

  /** Records that a run that began at `begunMs` ended well. */
  recordCompletion(begunMs: number): void {
    this.#context.crashAccount.recordCompletion(this.#causes, begunMs);
  }
}

/** Refuses a request that crashes servers. Errors: `RequestError`. */
export function rejectCrashingRequest(
  context: RelayContext,
  request: ProxyRequest,
): void {
  const rejection = crashRejection(context, causesOf(request));
  if (rejection === undefined) return;
  context.metrics.crashCauseRefusals.inc({ route: request.route });
  throw rejection;
}

/** Returns until when a request is refused, in ms; `undefined` if it may run. */
export function blockedUntilMs(
  { crashAccount }: RelayContext,
  request: ProxyRequest,
): number | undefined {
  return crashAccount.blockedUntilMs(causesOf(request));
}

/** Counts the crash of a server at `atMs` against a request that it ran. */
export function recordCrash(
  { crashAccount, metrics, log }: RelayContext,
  { request, record, server, atMs }: {
    readonly request: ProxyRequest;
    readonly record: AttemptRecord;
    readonly server: RegisteredServer;
    readonly atMs: number;
  },
): void {
  const stage = request.kind === RequestKind.Stream
    ? stageAt(record, atMs)
    : RunStage.Calling;
  const name = incarnationName(server);
  const causes = causesOf(request);
  metrics.attributedCrashes.inc();
  log(LOG_EVENTS.crashAttributed, {
    request: request.id,
    cause: causes.request,
    server: server.name,
    incarnation: name,
    zone: server.zone,
    prompt_parts: request.promptParts.join(" "),
    stage,
  });
  const zone = server.zone.slice(0, PART_MAX_CHARACTERS);
  const ranMs = Math.max(0, atMs - record.startedMs);
  crashAccount.recordCrash(causes, { server: name, zone, atMs, stage, ranMs });
}

function crashRejection(
  { crashAccount, now }: RelayContext,
  causes: RequestCauses,
): RequestError | undefined {
  const untilMs = crashAccount.blockedUntilMs(causes);
  if (untilMs === undefined) return undefined;
  return new RequestError(
    RequestErrorType.NotRun,
    "this request, or a part of its prompt, crashes backend servers",
    Math.ceil(untilMs - now()) / MS_PER_S,
  );
}

function causesOf(
  { id, fingerprint, service, promptParts }: ProxyRequest,
): RequestCauses {
  return {
    id,
    request: requestCause(fingerprint.slice(0, HASH_CHARACTERS)),
    parts: promptParts.map((part) => partCause(service, part)),
  };
}

function stageAt(record: AttemptRecord, atMs: number): RunStage {
  if (isHarmlessRun(record, atMs)) return RunStage.Proven;
  if (record.firstEventMs !== undefined) return RunStage.Producing;
  return record.respondedMs === undefined ? RunStage.Waiting : RunStage.Begun;
}

function isHarmlessRun(
  { firstEventMs }: AttemptRecord,
  nowMs: number,
): boolean {
  return firstEventMs !== undefined && nowMs - firstEventMs >= PROOF_MS;
}

/** Names a start of a server. */
function incarnationName({ name, startedMs }: RegisteredServer): string {
  return hashParts([name, String(startedMs)]).slice(0, SERVER_HASH_CHARACTERS);
}

function partCause(service: string, part: PromptPart): CrashCause {
  const name = part.length <= PART_MAX_CHARACTERS
    ? part
    : hashParts([part]).slice(0, HASH_CHARACTERS);
  return `part ${service.slice(0, PART_MAX_CHARACTERS)} ${name}` as CrashCause;
}
