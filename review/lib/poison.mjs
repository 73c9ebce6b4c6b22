/** The rule on a request that crashes the runners that run it. */

import { CONTACT_MS, HAS_TROUBLE } from "./cluster.mjs";
import { SERVICE } from "./config.mjs";
import { Runner } from "./runner.mjs";

/** Retries that the rule permits later than `contactMs` after the third crash. */
const RETRIES_MAX = 3;
const CRASHES_BEFORE = 3;
/** Work and slots of `sluzby-clenu`; a crashed runner is back after 3 s. */
const WORK_MS = 43;
const SLOTS = 6;
const BACK_MS = 3_000;

/** Records the runs of the request that crashes its runners. */
export class PoisonRuns {
  #record;
  #crashes;
  #timesMs = [];

  /** @param crashes whether the request crashes its runners */
  constructor(record, crashes = HAS_TROUBLE) {
    this.#record = record;
    this.#crashes = crashes;
  }

  /** Returns the runners of the service, one in each zone. */
  runners(cluster) {
    const zones = ["morava-a", "morava-b", "morava-c"];
    return zones.map((zone, at) =>
      new Runner({
        store: cluster.store,
        host: cluster.ip(100 + at),
        service: SERVICE,
        zone,
        slots: SLOTS,
        workMs: WORK_MS,
        backMs: BACK_MS,
        crashes: this.#crashes,
        record: (entry) => {
          if (entry.path.includes("poison")) this.#timesMs.push(Date.now());
          this.#record(entry);
        },
      })
    );
  }

  /**
   * Returns what breaks the rule, if anything does. All machines are in touch
   * whenever a case sends the request.
   */
  verdict() {
    const third = this.#timesMs[CRASHES_BEFORE - 1];
    if (!this.#crashes || third === undefined) return undefined;
    const retries = this.#timesMs.filter((timeMs) =>
      timeMs > third + CONTACT_MS
    );
    this.#record({
      what: "counted",
      runs: this.#timesMs.length,
      retriesLaterThanContactMsAfterTheThirdCrash: retries.length,
      permitted: RETRIES_MAX,
    });
    return retries.length > RETRIES_MAX
      ? `BUDGET: ${retries.length} retries, ${RETRIES_MAX} are permitted`
      : undefined;
  }
}
