/** Keeps one request from crashing servers, across its attempts. */

import type { RequestError } from "../errors.ts";
import type { RequestCauses } from "../process/crash_causes.ts";
import type { RelayContext } from "../process/relay_context.ts";
import type { AttemptRecord } from "./attempt_history.ts";
import { causesOf, isHarmlessRun, poisonRejection } from "./poison_request.ts";
import type { ProxyRequest } from "./proxy_request.ts";

/** What is known of a request as a possible cause of crashes. */
export class PoisonGuard {
  readonly #context: RelayContext;
  readonly #causes: RequestCauses;
  #isProven = false;

  private constructor(context: RelayContext, request: ProxyRequest) {
    this.#context = context;
    this.#causes = causesOf(request);
  }

  /** Creates the guard of a request that has not run. */
  static create(context: RelayContext, request: ProxyRequest): PoisonGuard {
    return new PoisonGuard(context, request);
  }

  /** Whether a run has lasted long enough to show that it crashes no server. */
  get isProven(): boolean {
    return this.#isProven;
  }

  /** Returns why the request must no longer run, if so. */
  rejection(): RequestError | undefined {
    if (this.#isProven) return undefined;
    return poisonRejection(this.#context, this.#causes);
  }

  /** Records that the request is sent to a server. */
  recordAttempt(): void {
    this.#context.crashCauses.recordAttempt(this.#causes);
  }

  /** Records events of an attempt. */
  recordEvents(record: AttemptRecord, count: number): void {
    const { now, crashCauses } = this.#context;
    record.eventCount += count;
    record.firstEventMs ??= now();
    if (this.#isProven || !isHarmlessRun(record, now())) return;
    this.#isProven = true;
    crashCauses.recordProof(this.#causes.parts);
  }

  /** Records that the request was answered completely. */
  recordCompletion(): void {
    this.#context.crashCauses.recordCompletion(this.#causes);
  }
}
