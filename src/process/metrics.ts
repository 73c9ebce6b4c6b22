/** Prometheus metrics of an entry. */

import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";

const LATENCY_BUCKETS_S = [
  0.005,
  0.02,
  0.05,
  0.1,
  0.25,
  0.5,
  0.88,
  2,
  4,
  10,
  60,
];

/** The metrics of one process, in their own registry. */
export class Metrics {
  readonly registry = new Registry();
  readonly requests = new Counter({
    name: "gypsumridge_requests_total",
    help: "Requests by outcome",
    labelNames: ["service", "rank", "outcome"],
    registers: [this.registry],
  });
  readonly deliveredEvents = new Counter({
    name: "gypsumridge_pieces_total",
    help: "Events with text delivered to callers",
    registers: [this.registry],
  });
  readonly firstTokenSeconds = new Histogram({
    name: "gypsumridge_first_token_seconds",
    help: "Time from a request to its first token",
    labelNames: ["rank"],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  readonly attemptFailures = new Counter({
    name: "gypsumridge_attempt_losses_total",
    help: "Failed attempts by cause",
    labelNames: ["cause"],
    registers: [this.registry],
  });
  readonly resumeSeconds = new Histogram({
    name: "gypsumridge_resume_seconds",
    help: "Time from the failure of an attempt to the next token",
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  readonly openRequests = new Gauge({
    name: "gypsumridge_open_requests",
    help: "Requests being served",
    registers: [this.registry],
  });
  readonly revision = new Gauge({
    name: "gypsumridge_revision",
    help: "Adopted revision of the configuration",
    registers: [this.registry],
  });

  readonly servingServers = new Gauge({
    name: "gypsumridge_serving_servers",
    help: "Backend servers that may get new requests",
    registers: [this.registry],
  });

  readonly liveEntries = new Gauge({
    name: "gypsumridge_live_entries",
    help: "Live entries by the platform's list, this one included",
    registers: [this.registry],
  });

  private constructor() {
    collectDefaultMetrics({ register: this.registry });
  }

  /** Creates the metrics of a process. */
  static create(): Metrics {
    return new Metrics();
  }
}
