/** The numbered events that the programs log; docs/EVENTS.md lists the same. */

/** Severity of an event, as winston names it. */
export enum Severity {
  Info = "info",
  Warn = "warn",
  Error = "error",
}

/** One kind of log line. */
export interface LogEvent {
  /** Stays the same for good; tools may match on it. */
  readonly number: number;
  readonly severity: Severity;
  readonly text: string;
  /** What an operator does about it. */
  readonly action: string;
}

function define(
  number: number,
  severity: Severity,
  text: string,
  action = "none",
): LogEvent {
  return { number, severity, text, action };
}

/** All events, by the name that code uses. */
export const LOG_EVENTS = {
  started: define(1001, Severity.Info, "process started"),
  listening: define(1002, Severity.Info, "listening"),
  shutdownRequested: define(1003, Severity.Info, "planned stop requested"),
  stopped: define(1004, Severity.Info, "process stopped"),
  shutdownForced: define(
    1005,
    Severity.Warn,
    "stop forced before all requests ended",
    "raise stop.deadline_ms if the deadline cut requests off",
  ),
  paused: define(
    1006,
    Severity.Warn,
    "process was paused; views are refreshed before new work",
    "look for overload or freezes of the instance",
  ),
  settingsReloaded: define(
    1007,
    Severity.Info,
    "settings file announced as changed",
  ),
  logLinesDropped: define(
    1008,
    Severity.Warn,
    "log lines were dropped",
    "read the metrics for what was not logged",
  ),
  unexpectedError: define(
    1099,
    Severity.Error,
    "unexpected error",
    "report it with its log line",
  ),
  revisionAdopted: define(2001, Severity.Info, "revision adopted"),
  revisionFailed: define(
    2002,
    Severity.Warn,
    "revision could not be fetched",
    "check the platform and the peers",
  ),
  platformUnreachable: define(
    2003,
    Severity.Warn,
    "platform can't be reached",
    "check the platform; requests go on without it",
  ),
  platformRecovered: define(2004, Severity.Info, "platform is reached again"),
  storeReadsStarted: define(
    2005,
    Severity.Info,
    "entry reads the platform, too few others are known to reach it",
  ),
  storeReadsStopped: define(
    2006,
    Severity.Info,
    "entry leaves reading the platform to others",
  ),
  serverListMismatch: define(
    2007,
    Severity.Warn,
    "list of backend servers differs from a peer's and is read anew",
    "look for lost links between entries",
  ),
  entryView: define(
    2008,
    Severity.Info,
    "what this entry knows of the deployment",
    "gather it with `gypsumridge status --logs`",
  ),
  serverDraining: define(3001, Severity.Info, "backend server is leaving"),
  serverEjected: define(
    3002,
    Severity.Warn,
    "backend server ejected from new work",
    "check the backend server",
  ),
  zoneFailureSuspected: define(
    3004,
    Severity.Warn,
    "several backend servers of an availability zone were lost at once",
    "check the availability zone",
  ),
  serverAtCapacity: define(
    3005,
    Severity.Info,
    "backend server refused for want of room",
    "add backend servers if it lasts",
  ),
  serverRecovered: define(3003, Severity.Info, "backend server has returned"),
  attemptFailed: define(3101, Severity.Warn, "attempt lost"),
  generationResumed: define(3102, Severity.Info, "generation resumed"),
  generationInterrupted: define(
    3103,
    Severity.Warn,
    "generation interrupted",
    "check for backend servers with the same model version",
  ),
  poisonRequestSuspected: define(
    3104,
    Severity.Warn,
    "request is suspected of crashing backend servers",
    "see `gypsumridge status`; the suspicion expires by itself",
  ),
  requestRefused: define(3105, Severity.Info, "request refused"),
  generationPreempted: define(
    3106,
    Severity.Info,
    "generation preempted for urgent work",
  ),
  requestEnded: define(3107, Severity.Info, "order ended"),
  attemptStarted: define(3108, Severity.Info, "request sent to a server"),
  streamStarted: define(3109, Severity.Info, "stream began"),
  kvCacheCopied: define(3110, Severity.Info, "run copied to another server"),
  kvCacheCopyFailed: define(
    3111,
    Severity.Info,
    "run could not be copied, or its copy not freed",
  ),
  actionOutcomeUnknown: define(
    4001,
    Severity.Warn,
    "outcome of a non-idempotent action is unknown",
    "ask the service whether the action took effect",
  ),
  actionClaimReleased: define(4002, Severity.Info, "unsent action retracted"),
  actionOutcomeNotStored: define(
    4003,
    Severity.Warn,
    "outcome of an action could not be stored",
    "check the platform",
  ),
  peerConnected: define(5001, Severity.Info, "peer connected"),
  peerDisconnected: define(5002, Severity.Info, "peer lost"),
  leaseAcquired: define(6001, Severity.Info, "steward lease acquired"),
  leaseLost: define(6002, Severity.Warn, "steward lease lost"),
  recordsExpired: define(6003, Severity.Info, "expired records removed"),
  stewardTaskFailed: define(
    6004,
    Severity.Warn,
    "steward duty failed and is tried again",
    "check the platform",
  ),
} as const satisfies Record<string, LogEvent>;
