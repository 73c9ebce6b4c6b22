/** What an entry's requests share. */

import type { ValueStore } from "../connection/value_store.ts";
import type { RevisionStore } from "../version/revision_store.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { Fleet, Standing } from "./fleet.ts";
import type { Ledger } from "./ledger.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { PauseGuard } from "./pause_guard.ts";
import type { EntrySettings } from "./settings.ts";
import type { Suspicions } from "./suspicions.ts";

/** The parts of one entry process that requests use. */
export interface EntryContext {
  readonly settings: EntrySettings;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly platform: ValueStore;
  readonly store: RevisionStore;
  readonly fleet: Fleet;
  readonly dispatcher: Dispatcher;
  readonly suspicions: Suspicions;
  readonly ledger: Ledger;
  readonly guard: PauseGuard;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  /** Where this entry stands among the live ones. */
  readonly standing: () => Standing;
  /** Whether a planned stop is under way. */
  readonly isStopping: () => boolean;
}
