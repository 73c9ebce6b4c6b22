/** Dependencies that the requests of one entry share. */

import type { IncomingMessage } from "node:http";
import type { KeyValueStore } from "../connection/key_value_store.ts";
import type { ResponseBuffers } from "../connection/response_buffers.ts";
import type { RequestTimes } from "../request/entry_admission.ts";
import type { ShutdownAdmission } from "../request/shutdown_admission.ts";
import type { RevisionStore } from "../version/revision_store.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { EntryPosition, ServerPool } from "./server_pool.ts";
import type { ActionStore } from "./action_store.ts";
import type { Log } from "./log.ts";
import type { CallerGuard } from "./caller_guard.ts";
import type { Metrics } from "./metrics.ts";
import type { PauseDetector } from "./pause_detector.ts";
import type { EntrySettings } from "./settings.ts";
import type { CrashSuspicions } from "./crash_suspicions.ts";

/** The parts of one entry process that requests use. */
export interface EntryContext {
  /** Those in force; they may change. */
  readonly settings: EntrySettings;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly platform: KeyValueStore;
  readonly revisionStore: RevisionStore;
  readonly serverPool: ServerPool;
  readonly dispatcher: Dispatcher;
  readonly suspicions: CrashSuspicions;
  readonly actionStore: ActionStore;
  readonly pauseDetector: PauseDetector;
  /** Limits what callers hold. */
  readonly callerGuard: CallerGuard;
  /** Buffers of the responses of plain services. */
  readonly responseBuffers: ResponseBuffers;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** This entry's position among the live ones. */
  readonly entryPosition: () => EntryPosition;
  /**
   * Decides whether the response to a request, if it begins now, announces the
   * end of its connection; with `isRequired`, it must. No later request on the
   * connection runs then.
   */
  readonly decideClose: (
    request: IncomingMessage,
    isRequired: boolean,
  ) => boolean;
  /** Whether a graceful shutdown is in progress. */
  readonly isStopping: () => boolean;
  /** Which requests are still sent to backend servers in it. */
  readonly shutdownAdmission: ShutdownAdmission<RequestTimes>;
}
