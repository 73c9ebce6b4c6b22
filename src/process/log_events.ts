/** Numbered log events; docs/EVENTS.md is generated from this list. */

/** Severity of an event; the values are winston log levels. */
export enum Severity {
  Info = "info",
  Warn = "warn",
  Error = "error",
}

/** A kind of log line. */
export interface LogEvent {
  /** Stable identifier; tools may match on it. */
  readonly number: number;
  readonly severity: Severity;
  readonly text: string;
  /** What an operator should do; "none" if nothing. */
  readonly action: string;
}

function createLogEvent(
  number: number,
  severity: Severity,
  text: string,
  action = "none",
): LogEvent {
  return { number, severity, text, action };
}

/** All events by name. */
export const LOG_EVENTS = {
  started: createLogEvent(1001, Severity.Info, "process started"),
  listening: createLogEvent(1002, Severity.Info, "listening"),
  shutdownRequested: createLogEvent(
    1003,
    Severity.Info,
    "graceful shutdown requested",
  ),
  stopped: createLogEvent(1004, Severity.Info, "process stopped"),
  shutdownForced: createLogEvent(
    1005,
    Severity.Warn,
    "shutdown forced before all requests ended",
    "raise stop.deadline_ms if requests were cut off at the deadline",
  ),
  paused: createLogEvent(
    1006,
    Severity.Warn,
    "process was paused; its state is refreshed before new requests are sent",
    "check the instance for overload or suspension",
  ),
  settingsFileChanged: createLogEvent(
    1007,
    Severity.Info,
    "notified that the settings file changed",
  ),
  logLinesDropped: createLogEvent(
    1008,
    Severity.Warn,
    "log lines dropped",
    "use the metrics to see what was not logged",
  ),
  eventLoopDelayed: createLogEvent(
    1009,
    Severity.Warn,
    "event loop was delayed; all requests of this process waited",
    "see docs/OPERATIONS.md, when all requests of an entry are slow",
  ),
  settingsApplied: createLogEvent(
    1010,
    Severity.Info,
    "changed settings taken over",
  ),
  settingsRejected: createLogEvent(
    1011,
    Severity.Warn,
    "settings file is invalid or can't be read; the earlier settings stay",
    "correct the file; it is read again by itself",
  ),
  settingsNeedRestart: createLogEvent(
    1012,
    Severity.Warn,
    "settings changed that apply only to a new process",
    "restart the process",
  ),
  unexpectedError: createLogEvent(
    1099,
    Severity.Error,
    "unexpected error",
    "report it with this log line",
  ),
  revisionAdopted: createLogEvent(
    2001,
    Severity.Info,
    "configuration revision adopted",
  ),
  revisionFailed: createLogEvent(
    2002,
    Severity.Warn,
    "configuration revision could not be fetched",
    "check the platform and the peers",
  ),
  platformUnreachable: createLogEvent(
    2003,
    Severity.Warn,
    "platform unreachable",
    "check the platform; requests are served without it",
  ),
  platformRecovered: createLogEvent(
    2004,
    Severity.Info,
    "platform reachable again",
  ),
  storeReadsStarted: createLogEvent(
    2005,
    Severity.Info,
    "entry started reading the store; too few other entries can reach it",
  ),
  storeReadsStopped: createLogEvent(
    2006,
    Severity.Info,
    "entry stopped reading the store; enough other entries read it",
  ),
  serverListMismatch: createLogEvent(
    2007,
    Severity.Warn,
    "backend server list differs from a peer's; listing again",
    "check for broken connections between entries",
  ),
  entryView: createLogEvent(
    2008,
    Severity.Info,
    "state of the deployment as seen by this entry",
    "summarize the logs with `gypsumridge status --logs`",
  ),
  registrationUnusable: createLogEvent(
    2009,
    Severity.Warn,
    "registration of a backend server is unusable; it gets no requests",
    "correct or remove the registration",
  ),
  configurationBehind: createLogEvent(
    2010,
    Severity.Warn,
    "a peer has announced a newer configuration that is not adopted yet",
    "check the platform and the links between entries",
  ),
  changePassedOver: createLogEvent(
    2011,
    Severity.Warn,
    "a watch of the store did not return a change; it was found by listing",
    "report it to the operators of the store",
  ),
  storeRestored: createLogEvent(
    2012,
    Severity.Warn,
    "the store has come back from an older copy; its objects were listed again",
    "check that what operators wrote last is there, else write it again",
  ),
  rolloutOrdered: createLogEvent(
    2101,
    Severity.Info,
    "order to move a service to another version; the version is observed",
  ),
  rolloutAdvanced: createLogEvent(
    2102,
    Severity.Info,
    "roll-out of a version entered another stage",
    "see docs/OPERATIONS.md, why a version was rolled back",
  ),
  rolloutStateWritten: createLogEvent(
    2103,
    Severity.Info,
    "state of a roll-out written to the store",
  ),
  rolloutStateNotWritten: createLogEvent(
    2104,
    Severity.Warn,
    "state of a roll-out could not be written; it is tried again",
    "check the platform if this repeats",
  ),
  rolloutUnusable: createLogEvent(
    2105,
    Severity.Warn,
    "order of a roll-out, or its status, is unusable",
    "correct or remove the order",
  ),
  serverDraining: createLogEvent(
    3001,
    Severity.Info,
    "backend server is draining",
  ),
  serverEjected: createLogEvent(
    3002,
    Severity.Warn,
    "backend server ejected; it gets no new requests for now",
    "check the backend server",
  ),
  zoneFailureSuspected: createLogEvent(
    3004,
    Severity.Warn,
    "several backend servers of an availability zone failed at once",
    "check the availability zone",
  ),
  serverAtCapacity: createLogEvent(
    3005,
    Severity.Info,
    "backend server refused a request because it is at capacity",
    "add backend servers if this persists",
  ),
  serverRecovered: createLogEvent(
    3003,
    Severity.Info,
    "backend server recovered",
  ),
  serverHeldOff: createLogEvent(
    3007,
    Severity.Info,
    "backend server asked for a pause; it gets no requests until its end",
    "if for_ms is less than stated_ms, check what the server states",
  ),
  attemptFailed: createLogEvent(3101, Severity.Warn, "attempt failed"),
  retryWaits: createLogEvent(
    3117,
    Severity.Warn,
    "retry budget exhausted; the request waits for a retry",
    "if it repeats, compare retries with the budget of the settings",
  ),
  promptSought: createLogEvent(
    3118,
    Severity.Info,
    "asked servers for the cached prompt of a stream that its caller resumes",
  ),
  generationResumed: createLogEvent(3102, Severity.Info, "generation resumed"),
  generationInterrupted: createLogEvent(
    3103,
    Severity.Warn,
    "generation interrupted",
    "check for backend servers with the same model version",
  ),
  poisonRequestSuspected: createLogEvent(
    3104,
    Severity.Warn,
    "request is suspected of crashing backend servers",
    "see `gypsumridge status`; the suspicion expires by itself",
  ),
  requestRefused: createLogEvent(3105, Severity.Info, "request refused"),
  generationPreempted: createLogEvent(
    3106,
    Severity.Info,
    "generation preempted by a more urgent request",
  ),
  requestEnded: createLogEvent(3107, Severity.Info, "request ended"),
  attemptStarted: createLogEvent(
    3108,
    Severity.Info,
    "request sent to a backend server",
  ),
  streamStarted: createLogEvent(3109, Severity.Info, "stream started"),
  kvCacheCopied: createLogEvent(
    3110,
    Severity.Info,
    "KV cache of a request copied to another backend server",
  ),
  kvCacheCopyFailed: createLogEvent(
    3111,
    Severity.Info,
    "KV cache of a request could not be copied, or its copy not released",
  ),
  requestUnanswered: createLogEvent(
    3112,
    Severity.Warn,
    "connection of a request closed before a complete response",
    "if closed_by is entry, look for 3103 or 1099 of the same request",
  ),
  crashAttributed: createLogEvent(
    3113,
    Severity.Warn,
    "crash of a backend server counts against a request that it ran",
    "see 3114 for what is refused",
  ),
  crashCauseBlocked: createLogEvent(
    3114,
    Severity.Warn,
    "a request, or a part of prompts, crashes backend servers; refused for now",
    "see docs/OPERATIONS.md, requests that crash backend servers",
  ),
  crashCauseCleared: createLogEvent(
    3115,
    Severity.Info,
    "a blocked request, or a part of prompts, is no longer a cause of crashes",
  ),
  crashBlockStored: createLogEvent(
    3120,
    Severity.Info,
    "block of requests that crash backend servers written to the store",
  ),
  crashBlocksRestored: createLogEvent(
    3121,
    Severity.Info,
    "blocks of requests that crash backend servers read from the store",
  ),
  crashBlockUnusable: createLogEvent(
    3122,
    Severity.Warn,
    "stored block of requests that crash backend servers can't be used",
    "remove the record if no version in use can read it",
  ),
  streamReadSlowly: createLogEvent(
    3116,
    Severity.Warn,
    "backend server sends a stream too fast; it is read slowly",
    "check the backend server",
  ),
  callersShed: createLogEvent(
    3123,
    Severity.Warn,
    "requests refused, or connections closed, to stay within a limit",
    "see docs/OPERATIONS.md, callers that don't behave",
  ),
  actionOutcomeUnknown: createLogEvent(
    4001,
    Severity.Warn,
    "outcome of a non-idempotent action is unknown",
    "ask the service whether the action took effect",
  ),
  actionClaimReleased: createLogEvent(
    4002,
    Severity.Info,
    "claim of an unsent action released",
  ),
  actionOutcomeNotStored: createLogEvent(
    4003,
    Severity.Warn,
    "outcome of an action could not be stored",
    "check the platform",
  ),
  peerConnected: createLogEvent(5001, Severity.Info, "peer connected"),
  peerDisconnected: createLogEvent(5002, Severity.Info, "peer disconnected"),
  registrationRestored: createLogEvent(
    5003,
    Severity.Warn,
    "this entry's registration was missing from the store; written again",
    "check who removed it if this repeats",
  ),
  peerSilent: createLogEvent(
    5004,
    Severity.Info,
    "nothing arrived on a link to a peer; closed, to be opened again",
    "check the network between the entries if this repeats",
  ),
  registrationRemoved: createLogEvent(
    5005,
    Severity.Info,
    "removed the registration of an entry that can't be reached",
    "if the entry lives, check its network; it registers again",
  ),
  leaseAcquired: createLogEvent(6001, Severity.Info, "steward lease acquired"),
  leaseLost: createLogEvent(6002, Severity.Warn, "steward lease lost"),
  recordsExpired: createLogEvent(
    6003,
    Severity.Info,
    "expired records removed",
  ),
  stewardTaskFailed: createLogEvent(
    6004,
    Severity.Warn,
    "steward task failed and will be retried",
    "check the platform",
  ),
} as const satisfies Record<string, LogEvent>;
