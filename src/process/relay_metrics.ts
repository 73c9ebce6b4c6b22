/** Prometheus metrics of a relaying entry. */

import { Counter, Gauge, Histogram, Registry } from "prom-client";

const SECONDS_BUCKETS = [0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 10, 25];

/** The metrics of one process, in their own registry. */
export class RelayMetrics {
  readonly registry = new Registry();
  readonly orders = new Counter({
    name: "gypsumridge_orders_total",
    help: "Requests by outcome",
    labelNames: ["route", "outcome"],
    registers: [this.registry],
  });
  readonly firstByteSeconds = new Histogram({
    name: "gypsumridge_order_first_byte_seconds",
    help: "Time from a request to the first byte of its response",
    labelNames: ["route"],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });
  readonly attemptFailures = new Counter({
    name: "gypsumridge_order_losses_total",
    help: "Failed attempts by cause",
    labelNames: ["cause"],
    registers: [this.registry],
  });
  readonly resumeSeconds = new Histogram({
    name: "gypsumridge_order_resume_seconds",
    help: "Time from the failure of a stream's server to its next event",
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });
  readonly openRequests = new Gauge({
    name: "gypsumridge_open_orders",
    help: "Requests being served",
    registers: [this.registry],
  });
  readonly configurationVersion = new Gauge({
    name: "gypsumridge_configuration_version",
    help: "Version of the configuration in force",
    registers: [this.registry],
  });
  readonly configurationBehindSeconds = new Histogram({
    name: "gypsumridge_configuration_behind_seconds",
    help:
      "Time from a peer's announcement of a newer configuration to adoption",
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });
  readonly unansweredRequests = new Counter({
    name: "gypsumridge_unanswered_requests_total",
    help: "Requests whose connection closed before a complete response",
    labelNames: ["closed_by", "has_ended_sending", "was_sent"],
    registers: [this.registry],
  });
  readonly drainingServers = new Counter({
    name: "gypsumridge_servers_draining_total",
    help: "Backend servers that became known as draining, by source",
    labelNames: ["source"],
    registers: [this.registry],
  });
  readonly holdOffs = new Counter({
    name: "gypsumridge_hold_offs_total",
    help: "Responses with which backend servers asked for a pause",
    registers: [this.registry],
  });
  readonly attributedCrashes = new Counter({
    name: "gypsumridge_attributed_crashes_total",
    help: "Crashes of servers that count against the requests they ran",
    registers: [this.registry],
  });
  readonly crashCausesBlocked = new Counter({
    name: "gypsumridge_crash_causes_blocked_total",
    help: "Causes of crashes whose requests were refused from then on",
    registers: [this.registry],
  });
  readonly crashCauseRefusals = new Counter({
    name: "gypsumridge_crash_cause_refusals_total",
    help: "Requests refused because they or a part of them crash servers",
    labelNames: ["route"],
    registers: [this.registry],
  });
  readonly promptSearches = new Counter({
    name: "gypsumridge_prompt_searches_total",
    help: "Searches for the server with a resumed stream's prompt, by outcome",
    labelNames: ["outcome"],
    registers: [this.registry],
  });
  readonly retryWaits = new Counter({
    name: "gypsumridge_retry_waits_total",
    help: "Retries that the budget did not allow at once",
    labelNames: ["service"],
    registers: [this.registry],
  });
  readonly borrowedRetries = new Counter({
    name: "gypsumridge_retries_borrowed_total",
    help: "Retries that other entries lent, fractions included",
    registers: [this.registry],
  });
  readonly rolloutPlacements = new Counter({
    name: "gypsumridge_rollout_placements_total",
    help: "Requests placed while a service moves to a new version, by version",
    labelNames: ["service", "version"],
    registers: [this.registry],
  });
  readonly droppedLogLines = new Counter({
    name: "gypsumridge_log_lines_dropped_total",
    help: "Log lines dropped because too many were written",
    registers: [this.registry],
  });
  readonly #settings = new Gauge({
    name: "gypsumridge_settings",
    help: "Settings in force that are numbers, by name",
    labelNames: ["name"],
    registers: [this.registry],
  });

  private constructor() {}

  /** Creates the metrics of a process. */
  static create(): RelayMetrics {
    return new RelayMetrics();
  }

  /** Records the numbers among the settings in force. */
  setSettings(settings: object): void {
    for (const [name, value] of Object.entries(settings)) {
      if (typeof value === "number") this.#settings.set({ name }, value);
    }
  }
}
