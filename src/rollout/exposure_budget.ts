/**
 * Limits the share of a service's requests that a new version gets.
 *
 * Answers the load of hundreds of entries, each of which sees a few requests a
 * second: a whole request of the share would be more than most of them see. A
 * random offset makes an entry send its first one sooner or later, so that the
 * sum over all entries is the share of all requests.
 */

/** Limits for a version that is not known to be good. */
export interface ExposureLimits {
  /** Requests that a bad version may get, as a share of the service's. */
  readonly share: number;
  /** Requests that it may get in addition to that share. */
  readonly allowance: number;
}

/** What one entry has sent since the order. */
export interface ExposureBudget {
  /** Requests sent to any version of the service. */
  readonly requests: number;
  /** Requests sent to the new version. */
  readonly exposed: number;
  /** Requests that may be sent beyond the share of those so far. */
  readonly credit: number;
}

/** Part of the permitted share that is used; resumed streams may exceed it. */
const USED_SHARE = 0.8;
/** Part of the allowance that all entries use; restarts grant it again. */
const USED_ALLOWANCE = 0.2;

/** Returns the share of requests that the new version is to get. */
export function targetShare({ share }: ExposureLimits): number {
  return share * USED_SHARE;
}

/** Returns the budget of an entry that has sent nothing yet. */
export function createExposureBudget(
  { allowance }: ExposureLimits,
  { entryCount, random }: {
    readonly entryCount: number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
  },
): ExposureBudget {
  const ownAllowance = USED_ALLOWANCE * allowance / entryCount;
  return { requests: 0, exposed: 0, credit: random() + ownAllowance };
}

/** Whether the next request may go to the new version. */
export function hasExposureLeft(
  { requests, exposed, credit }: ExposureBudget,
  limits: ExposureLimits,
): boolean {
  return exposed + 1 <= targetShare(limits) * requests + credit;
}

/** Returns the budget after a request was sent. */
export function spendExposure(
  budget: ExposureBudget,
  isCandidate: boolean,
): ExposureBudget {
  return {
    ...budget,
    requests: budget.requests + 1,
    exposed: budget.exposed + (isCandidate ? 1 : 0),
  };
}
