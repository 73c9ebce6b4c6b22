/** Dependencies that the requests of one relaying entry share. */

import type { SlotRequest } from "../request/acquire_slot.ts";
import type { ReadTurns } from "../connection/read_turns.ts";
import type { ResponseBuffers } from "../connection/response_buffers.ts";
import type { KvCopier, KvCopyReleaser } from "../request/kv_copy_manager.ts";
import type { CallerWaitEstimator } from "./caller_wait_estimator.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { RegisteredServers } from "./registered_servers.ts";
import type { Log } from "./log.ts";
import type { RelayMetrics } from "./relay_metrics.ts";
import type { PromptCacheIndex } from "./prompt_cache_index.ts";
import type { LoadInquiry } from "../placement/load_inquiry.ts";
import type { PromptSearch } from "../placement/prompt_search.ts";
import type { Rollouts } from "../rollout/rollouts.ts";
import type { RetryBudget } from "../placement/retry_budget.ts";
import type { ServerReports } from "../health/server_reports.ts";
import type { SilentServers } from "./silent_servers.ts";
import type { CrashAccount } from "./crash_account.ts";
import type { ShutdownAdmission } from "../request/shutdown_admission.ts";

/** The parts of an entry process that requests use. */
export interface RelayContext {
  readonly log: Log;
  readonly metrics: RelayMetrics;
  readonly servers: RegisteredServers;
  readonly rollouts: Rollouts;
  readonly reports: ServerReports;
  readonly silentServers: SilentServers;
  readonly promptCacheIndex: PromptCacheIndex;
  /** `undefined` if servers don't tell which prompts they have cached. */
  readonly promptSearch: PromptSearch | undefined;
  readonly loadInquiry: LoadInquiry;
  readonly crashAccount: CrashAccount;
  readonly dispatcher: Dispatcher<SlotRequest>;
  readonly retryBudget: RetryBudget;
  readonly callerWaits: CallerWaitEstimator;
  readonly shutdownAdmission: ShutdownAdmission;
  /** Whether a service's engines can back up each other's KV caches. */
  readonly supportsKvBackup: (service: string) => boolean;
  readonly copyKvCache: KvCopier;
  readonly releaseKvCopy: KvCopyReleaser;
  /** Buffers of the responses to calls. */
  readonly responseBuffers: ResponseBuffers;
  /** Turns in which streams are read that send fast. */
  readonly readTurns: ReadTurns;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}
