/**
 * The orders to move services to other versions, as an entry carries them out.
 * Without limits for new versions in the settings, versions don't count.
 */

import { eraOf } from "../connection/store_era.ts";
import { LOG_EVENTS } from "../process/log_events.ts";
import type { Log } from "../process/log.ts";
import type { RegisteredServer } from "../process/registered_server.ts";
import type { ExposureLimits } from "./exposure_budget.ts";
import { type Judgement, Verdict } from "./judge_version.ts";
import { planRollout } from "./plan_rollout.ts";
import { Rollout } from "./rollout.ts";
import { ServiceVersions } from "./service_versions.ts";
import {
  type RolloutDigest,
  type RolloutId,
  type RolloutOrder,
  RolloutStage,
  RolloutState,
  type StoredRollout,
} from "./types.ts";
import {
  VersionedServers,
  type VersionedServersOptions,
  versionOf,
} from "./versioned_servers.ts";

/** A condition on servers. */
export type ServerFilter = (server: RegisteredServer) => boolean;

/** Dependencies of the orders. */
export interface RolloutsOptions extends VersionedServersOptions {
  /** `undefined` if versions don't count. */
  readonly limits: ExposureLimits | undefined;
  /** Identifies this process. */
  readonly writer: string;
  readonly log: Log;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  readonly entryCount: () => number;
  /** Called when servers may get requests that could not get them before. */
  readonly onChange: () => void;
  /** Called for each request that is placed while an order is open. */
  readonly onPlacement?: (service: string, isCandidate: boolean) => void;
}

/** A response of a server, or the part of it that was awaited. */
export interface ServerResponse {
  readonly server: RegisteredServer;
  /** The route, or the route and a measure. */
  readonly aspect: string;
  /** When its request was sent, on the monotonic clock in ms. */
  readonly sentMs: number;
  /** In ms; `undefined` if the response reports a failure. */
  readonly latencyMs: number | undefined;
}

/** A state that the store should show. */
export interface RolloutWrite {
  readonly order: RolloutOrder;
  readonly state: RolloutState;
}

/** How long a withdrawn order is remembered, in ms; digests repeat it. */
const WITHDRAWN_RETENTION_MS = 60_000;
/** Time for operators to write an order again, in ms. */
const REWRITE_GRACE_MS = 10_000;
/** Digits of a share in logs. */
const SHARE_DIGITS = 3;

/** All orders that an entry knows. */
export class Rollouts {
  readonly #options: RolloutsOptions;
  readonly #rollouts = new Map<string, Rollout>();
  readonly #versions = new Map<string, ServiceVersions>();
  /** State that the store shows, as far as this entry has read it. */
  readonly #storedStates = new Map<RolloutId, RolloutState | undefined>();
  /** Services whose orders a restored store lacks, on the monotonic clock. */
  readonly #missingSinceMs = new Map<string, number>();
  readonly #servers: VersionedServers;
  /** Whether the orders were read, from the store or from a peer. */
  #isKnown = false;

  private constructor(options: RolloutsOptions) {
    this.#options = options;
    this.#servers = VersionedServers.create(options);
  }

  /** Starts without orders. */
  static create(options: RolloutsOptions): Rollouts {
    return new Rollouts(options);
  }

  /** Whether versions count. */
  get isEnabled(): boolean {
    return this.#options.limits !== undefined;
  }

  /** Records a server that was listed. */
  recordServer(server: RegisteredServer): void {
    if (!this.isEnabled) return;
    const { now } = this.#options;
    const seenMs = this.#isKnown ? now() : Number.NEGATIVE_INFINITY;
    this.#versionsOf(server.service).record(
      { version: versionOf(server), startedMs: server.startedMs },
      seenMs,
    );
  }

  /** Whether the version of a server may get requests. */
  isInService(server: RegisteredServer): boolean {
    if (!this.isEnabled) return true;
    const { service } = server;
    const version = versionOf(server);
    const versions = this.#versionsOf(service);
    if (!this.#isKnown) return version === (versions.oldest ?? version);
    const isOpen = this.#openRollout(service) !== undefined;
    if (isOpen) return !versions.isBlocked(version);
    return versions.isAllowed(version, {
      nowMs: this.#options.now(),
      isListed: (other) => this.#servers.isListed(service, other),
    });
  }

  /**
   * Returns the conditions of which a request's server has to meet the first
   * that any does; `undefined` if there is no order.
   */
  filtersFor(service: string): readonly ServerFilter[] | undefined {
    const rollout = this.#openRollout(service);
    if (rollout === undefined) return undefined;
    const { target } = rollout.order;
    if (!this.#versionsOf(service).hasOther(target)) return undefined;
    const isBaseline: ServerFilter = (server) => versionOf(server) !== target;
    if (rollout.stage === RolloutStage.Promoting) {
      return [(server) => !isBaseline(server), isBaseline];
    }
    const { servers, probability } = rollout.canaries(
      this.#servers.byVersion(service, target),
    );
    const isCandidate = this.#options.random() < probability &&
      rollout.hasExposureLeft;
    return isCandidate
      ? [({ name }) => servers.has(name), isBaseline]
      : [isBaseline];
  }

  /** Counts a request that was placed on a server. */
  recordPlacement(server: RegisteredServer): void {
    const rollout = this.#openRollout(server.service);
    if (rollout === undefined) return;
    const version = versionOf(server);
    rollout.recordPlacement(version);
    const isCandidate = version === rollout.order.target;
    this.#options.onPlacement?.(server.service, isCandidate);
  }

  /** Counts a response to a request that was sent since the order was known. */
  recordResponse(response: ServerResponse): void {
    const { server, aspect, sentMs, latencyMs } = response;
    const rollout = this.#openRollout(server.service);
    if (rollout === undefined || sentMs < rollout.knownSinceMs) return;
    rollout.recordResponse({
      aspect,
      isCandidate: versionOf(server) === rollout.order.target,
      server: server.name,
      latencyMs,
    });
  }

  /** Returns which servers may hold a copy of a run on `source`. */
  copyFilter(source: RegisteredServer): ServerFilter | undefined {
    const rollout = this.#openRollout(source.service);
    if (rollout === undefined) return undefined;
    const { target } = rollout.order;
    const isTarget: ServerFilter = (server) => versionOf(server) === target;
    if (rollout.stage === RolloutStage.Promoting) return isTarget;
    return (server) => isTarget(server) === isTarget(source);
  }

  /** Whether a server will stop soon without draining. */
  isRetiring(server: RegisteredServer): boolean {
    const rollout = this.#openRollout(server.service);
    return rollout?.stage === RolloutStage.Promoting &&
      versionOf(server) !== rollout.order.target;
  }

  /**
   * Replaces the orders by all those in the store.
   *
   * @param isRestored whether orders may be missing because the store came back
   * from an older copy; operators write them again
   */
  replaceStored(stored: readonly StoredRollout[], isRestored = false): void {
    const services = new Set(stored.map(({ order }) => order.service));
    for (const service of this.#rollouts.keys()) {
      if (services.has(service)) continue;
      if (isRestored) this.#missingSinceMs.set(service, this.#options.now());
      else this.withdraw(service);
    }
    for (const rollout of stored) this.applyStored(rollout);
    this.#markKnown();
  }

  /** Takes in an order that was read from the store. */
  applyStored({ order, state }: StoredRollout): void {
    const rollout = this.#adopt(order);
    if (rollout === undefined) return;
    this.#missingSinceMs.delete(order.service);
    this.#storedStates.set(order.id, state);
    if (state === RolloutState.Completed) {
      this.#advance(rollout, RolloutStage.Completed, "status in the store");
    }
    if (state === RolloutState.RolledBack) {
      this.#advance(rollout, RolloutStage.RolledBack, "status in the store");
    }
  }

  /** Records that the operator has removed a service's order. */
  withdraw(service: string): void {
    const rollout = this.#rollouts.get(service);
    if (rollout === undefined) return;
    this.#advance(rollout, RolloutStage.Withdrawn, "order removed");
  }

  /** Returns the digest for peers; `undefined` if the orders are not known. */
  digest(): readonly RolloutDigest[] | undefined {
    if (!this.#isKnown) return undefined;
    return [...this.#rollouts.values()].map((rollout) => rollout.digest());
  }

  /** Takes in a peer's digest. */
  merge(digests: readonly RolloutDigest[]): void {
    if (!this.isEnabled) return;
    for (const digest of digests) {
      const { stage, stageAgeMs } = digest;
      const isForgotten = stage === RolloutStage.Withdrawn &&
        !this.#rollouts.has(digest.service);
      const rollout = isForgotten ? undefined : this.#adopt(digest);
      if (rollout === undefined) continue;
      rollout.merge(digest);
      this.#advance(rollout, stage, "a peer's digest", stageAgeMs);
    }
    this.#markKnown();
  }

  /**
   * Judges all open orders, and returns the states that the store should show.
   *
   * @param isDecider whether this entry decides for all
   */
  update(isDecider: boolean): readonly RolloutWrite[] {
    this.#forgetWithdrawn();
    this.#withdrawMissing();
    return [...this.#rollouts.values()].flatMap((rollout) => {
      const state = this.#updateOne(rollout, isDecider);
      if (!isDecider || state === undefined) return [];
      const { order } = rollout;
      return this.#storedStates.get(order.id) === state
        ? []
        : [{ order, state }];
    });
  }

  /** Returns the state that the store should show. */
  #updateOne(rollout: Rollout, isDecider: boolean): RolloutState | undefined {
    const judgement = rollout.isOpen ? rollout.judge() : undefined;
    const next = planRollout({
      stage: rollout.stage,
      verdict: judgement?.verdict ?? Verdict.Undecided,
      durationMs: rollout.order.durationMs,
      elapsedMs: rollout.elapsedMs,
      stageElapsedMs: rollout.stageElapsedMs,
      isDecider,
    });
    if (next === RolloutStage.Completed) return RolloutState.Completed;
    const reason = judgement?.verdict === Verdict.Undecided
      ? "not judged in time"
      : "responses";
    this.#advance(rollout, next, reason, 0, judgement);
    return stateOf(rollout.stage);
  }

  /** Returns the roll-out of an order; `undefined` if a later one is known. */
  #adopt(order: RolloutOrder): Rollout | undefined {
    const { limits, log } = this.#options;
    if (limits === undefined) return undefined;
    const { id, service, target, durationMs, revision } = order;
    const known = this.#rollouts.get(service);
    if (known?.order.id === id) return known;
    if (known !== undefined && known.order.revision > revision) {
      return undefined;
    }
    const isSame = known !== undefined &&
      known.stage !== RolloutStage.Withdrawn && isRewritten(known.order, order);
    if (isSame) {
      this.#storedStates.set(id, undefined);
      known.order = { ...known.order, id, revision };
      return known;
    }
    const versions = this.#versionsOf(service);
    if (known?.isOpen && known.order.target !== target) {
      versions.retire(known.order.target);
    }
    versions.unblock(target);
    const rollout = Rollout.create({
      ...this.#options,
      limits,
      order: { id, service, target, durationMs, revision },
      entryCount: this.#options.entryCount(),
    });
    this.#rollouts.set(service, rollout);
    log(LOG_EVENTS.rolloutOrdered, {
      service,
      target,
      duration_ms: durationMs,
      order: id,
    });
    return rollout;
  }

  #advance(
    rollout: Rollout,
    stage: RolloutStage,
    reason: string,
    stageAgeMs = 0,
    judgement: Judgement = rollout.judge(),
  ): void {
    const { order, isOpen: wasOpen } = rollout;
    const { service, target, id } = order;
    if (!rollout.advance(stage, stageAgeMs)) return;
    const versions = this.#versionsOf(service);
    if (stage === RolloutStage.RolledBack) versions.markRolledBack(target);
    if (stage === RolloutStage.Completed) versions.retireAllBut(target);
    if (stage === RolloutStage.Withdrawn && wasOpen) versions.retire(target);
    const { aspect, candidate, baseline } = judgement;
    const { requests, exposed } = rollout.budget;
    this.#options.log(LOG_EVENTS.rolloutAdvanced, {
      service,
      target,
      order: id,
      stage: RolloutStage[stage],
      reason,
      verdict: judgement.verdict,
      aspect,
      target_bad: candidate.bad,
      target_responses: candidate.total,
      other_bad: baseline.bad,
      other_responses: baseline.total,
      own_share: Number(
        (exposed / Math.max(1, requests)).toFixed(SHARE_DIGITS),
      ),
      own_requests: requests,
      after_ms: Math.round(rollout.elapsedMs),
    });
    this.#options.onChange();
  }

  #withdrawMissing(): void {
    const sinceMs = this.#options.now() - REWRITE_GRACE_MS;
    for (const [service, missingMs] of this.#missingSinceMs) {
      if (missingMs > sinceMs) continue;
      this.#missingSinceMs.delete(service);
      this.withdraw(service);
    }
  }

  #forgetWithdrawn(): void {
    for (const [service, rollout] of this.#rollouts) {
      const isForgotten = rollout.stage === RolloutStage.Withdrawn &&
        rollout.stageElapsedMs > WITHDRAWN_RETENTION_MS;
      if (isForgotten) this.#rollouts.delete(service);
    }
  }

  #markKnown(): void {
    if (this.#isKnown || !this.isEnabled) return;
    this.#isKnown = true;
    for (const versions of this.#versions.values()) versions.releaseHeld();
    this.#options.onChange();
  }

  #openRollout(service: string): Rollout | undefined {
    const rollout = this.#rollouts.get(service);
    return rollout?.isOpen ? rollout : undefined;
  }

  #versionsOf(service: string): ServiceVersions {
    const versions = this.#versions.get(service) ?? ServiceVersions.create();
    this.#versions.set(service, versions);
    return versions;
  }
}

/** Whether an order is one that the store had lost, written again. */
function isRewritten(known: RolloutOrder, order: RolloutOrder): boolean {
  return eraOf(order.revision) > eraOf(known.revision) &&
    order.target === known.target && order.durationMs === known.durationMs;
}

function stateOf(stage: RolloutStage): RolloutState | undefined {
  switch (stage) {
    case RolloutStage.Observing:
    case RolloutStage.Promoting:
      return RolloutState.Active;
    case RolloutStage.RolledBack:
      return RolloutState.RolledBack;
    default:
      return undefined;
  }
}
