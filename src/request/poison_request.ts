/**
 * Refuses poison requests: those that crashed the servers that ran them, or
 * that have a part of a prompt which did.
 */

import { RequestError, RequestErrorType } from "../errors.ts";
import { hashParts } from "../hashing.ts";
import type { CrashCause, PromptPart } from "../ids.ts";
import type { RequestCauses, RequestCrash } from "../process/crash_causes.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import type { RelayContext } from "../process/relay_context.ts";
import type { AttemptRecord } from "./attempt_history.ts";
import { type ProxyRequest, RequestKind } from "./proxy_request.ts";

/** Time after its first event in which a run would crash its server, in ms. */
const PROOF_MS = 1_000;
/** Weight of a crash that another request may have caused. */
const UNCERTAIN_WEIGHT = 0.5;
/** Servers of a zone that fail at once in a failure of the zone itself. */
const ZONE_FAILURES_MIN = 3;
/** Factor of a crash's weight in a failure of the zone. */
const ZONE_FAILURE_FACTOR = 0.5;
/** Longest name of a part in the name of a cause, in characters. */
const PART_MAX_CHARACTERS = 48;
/** Characters of a hash that stand for a request or a part. */
const HASH_CHARACTERS = 16;
/** Characters of a hash that stand for a server. */
const SERVER_HASH_CHARACTERS = 8;
const MS_PER_S = 1_000;

/** Returns the possible causes of a server crash in a request. */
export function causesOf(
  { id, fingerprint, service, promptParts }: ProxyRequest,
): RequestCauses {
  const request = `request ${fingerprint.slice(0, HASH_CHARACTERS)}`;
  return {
    id,
    request: request as CrashCause,
    parts: promptParts.map((part) => partCause(service, part)),
  };
}

/** Refuses a poison request. Errors: `RequestError` of type not run. */
export function rejectPoisonRequest(
  context: RelayContext,
  request: ProxyRequest,
): void {
  const rejection = poisonRejection(context, causesOf(request));
  if (rejection === undefined) return;
  context.metrics.crashCauseRefusals.inc({ route: request.route });
  throw rejection;
}

/** Returns the refusal of a request with blocked causes, if any. */
export function poisonRejection(
  { crashCauses, now }: RelayContext,
  causes: RequestCauses,
): RequestError | undefined {
  const untilMs = crashCauses.blockedUntilMs(causes);
  if (untilMs === undefined) return undefined;
  return new RequestError(
    RequestErrorType.NotRun,
    "this request, or a part of its prompt, crashes backend servers",
    Math.ceil(untilMs - now()) / MS_PER_S,
  );
}

/** Whether a run has lasted long enough to show that it crashes no server. */
export function isHarmlessRun(
  { firstEventMs }: AttemptRecord,
  nowMs: number,
): boolean {
  return firstEventMs !== undefined && nowMs - firstEventMs >= PROOF_MS;
}

/** Counts the crash of a server against a request that it ran. */
export function recordCrash(
  { crashCauses, metrics, log, servers }: RelayContext,
  { request, server, crash }: {
    readonly request: ProxyRequest;
    readonly server: RegisteredServer;
    readonly crash: Omit<RequestCrash, "server">;
  },
): void {
  const isZoneFailure =
    servers.failuresAtOnce(server.zone) >= ZONE_FAILURES_MIN;
  const factor = isZoneFailure ? ZONE_FAILURE_FACTOR : 1;
  const requestWeight = crash.requestWeight * factor;
  crashCauses.recordCrash(causesOf(request), {
    atMs: crash.atMs,
    requestWeight,
    partWeight: crash.partWeight * factor,
    server: incarnationName(server),
  });
  metrics.attributedCrashes.inc();
  log(LOG_EVENTS.crashAttributed, {
    request: request.id,
    server: server.name,
    prompt_parts: request.promptParts.join(" "),
    weight: requestWeight,
  });
}

/**
 * Returns how much a crash at `atMs` counts: a run that had begun to respond but
 * not produced an event may well have caused it; one that waited, or had
 * produced events, more likely shared the server with the cause.
 */
export function weighCrash(
  { kind }: ProxyRequest,
  { record, isProven, atMs }: {
    readonly record: AttemptRecord;
    /** Whether an earlier attempt showed that the request is harmless. */
    readonly isProven: boolean;
    readonly atMs: number;
  },
): Omit<RequestCrash, "server"> {
  if (kind !== RequestKind.Stream) {
    return { atMs, requestWeight: 1, partWeight: 1 };
  }
  if (isProven || isHarmlessRun(record, atMs)) {
    return { atMs, requestWeight: UNCERTAIN_WEIGHT, partWeight: 0 };
  }
  const hasJustBegun = record.respondedMs !== undefined &&
    record.firstEventMs === undefined;
  const weight = hasJustBegun ? 1 : UNCERTAIN_WEIGHT;
  return { atMs, requestWeight: weight, partWeight: weight };
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
