/** What the orders of one entry share. */

import type { OrderWish } from "../request/place_order.ts";
import type { CopyReleaser, RunCopier } from "../request/run_copies.ts";
import type { CallerTimes } from "./caller_times.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { LiveServers } from "./live_servers.ts";
import type { Log } from "./log.ts";
import type { RelayMetrics } from "./relay_metrics.ts";
import type { PromptPlaces } from "./prompt_places.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { ServerReports } from "./server_reports.ts";
import type { Suspicions } from "./suspicions.ts";

/** The parts of an entry process that orders use. */
export interface RelayContext {
  readonly log: Log;
  readonly metrics: RelayMetrics;
  readonly servers: LiveServers;
  readonly reports: ServerReports;
  readonly prompts: PromptPlaces;
  readonly suspicions: Suspicions;
  readonly dispatcher: Dispatcher<OrderWish>;
  readonly budget: RetryBudget;
  readonly callerTimes: CallerTimes;
  /** Whether the engines of a service can keep copies of each other's runs. */
  readonly canBackUp: (service: string) => boolean;
  readonly copyRun: RunCopier;
  readonly freeCopy: CopyReleaser;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
}
