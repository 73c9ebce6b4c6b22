/** Constants shared across modules. */

/** Largest value that the platform's object API accepts, in bytes. */
export const PLATFORM_VALUE_MAX_BYTES = 1_000_000;
/**
 * Most requests that a backend server can run at once. Servers are chosen by
 * the fraction of it in use, so one with an absurd number would get them all.
 */
export const SLOTS_MAX = 4_096;
/** Duration of one long-poll watch before it is renewed, in ms. */
export const WATCH_TIMEOUT_MS = 10_000;
/** Delay before a failed platform call is retried, in ms. */
export const PLATFORM_RETRY_DELAY_MS = 250;
/** Interval at which an entry lists the platform's instances, in ms. */
export const INSTANCE_LIST_INTERVAL_MS = 1_000;
/** Interval at which an entry polls a backend server's load report, in ms. */
export const REPORT_INTERVAL_MS = 400;
/** Timeout of one load report call, in ms. */
export const REPORT_TIMEOUT_MS = 800;
/** Largest load report, in bytes; one lists each run in some 60 bytes. */
export const REPORT_MAX_BYTES = 1_048_576;
/** Maximum age of the report of a server that gets new requests, in ms. */
export const REPORT_MAX_AGE_MS = 2_000;
/** Interval at which an entry sends its digest to selected peers, in ms. */
export const DIGEST_INTERVAL_MS = 500;
/** Number of peers that receive an entry's digest per interval. */
export const DIGEST_FANOUT = 6;
/** Timeout of a chunk request to a peer, in ms. */
export const PEER_CHUNK_TIMEOUT_MS = 1_000;
/** Interval at which an unchanged entry status is rewritten, in ms. */
export const STATUS_INTERVAL_MS = 10_000;
/** Number of chunks that a revision's customers are hashed into. */
export const CUSTOMER_BUCKETS = 256;
/** Number of chunks that a revision's backend servers are hashed into. */
export const BACKEND_SERVER_BUCKETS = 16;
/** Lifetime of a crash suspicion after the last server failure, in ms. */
export const SUSPICION_TTL_MS = 600_000;
/** Blame score at which a request is refused; the first failure adds 1. */
export const SUSPICION_BLAME_LIMIT = 2;
/** Blame added by a later failure before the request made progress. */
export const SUSPICION_BLAME_BEFORE_PROGRESS = 1;
/** Blame added by a later failure after the request made progress. */
export const SUSPICION_BLAME_AFTER_PROGRESS = 0.25;
/** Tokens after which a stream counts as having made progress. */
export const SUSPICION_PROGRESS_TOKENS = 2;
/** Prefill rate by the users' engine data sheets, in prompt tokens per ms. */
export const PREFILL_TOKENS_PER_MS = 5;
/** Failed attempts, reattachments included, allowed per generation. */
export const ATTEMPT_FAILURES_MAX = 12;
/** Time that a failed backend server gets no new requests, in ms. */
export const EJECTION_DURATION_MS = 3_000;
/** Largest fraction of a service's servers that may be ejected at once. */
export const EJECTION_MAX_FRACTION = 0.5;
/** Largest action response that is stored for replay, in bytes. */
export const ACTION_RESPONSE_MAX_BYTES = 512_000;
/** Extra time for the owner of a claim to store its call's outcome, in ms. */
export const ACTION_OUTCOME_GRACE_MS = 1_000;
/** Interval at which a waiting duplicate polls the action record, in ms. */
export const ACTION_POLL_INTERVAL_MS = 100;
/** Age of a claim beyond which its action is no longer sent, in ms. */
export const ACTION_CLAIM_MAX_AGE_MS = 2_000;
/** Time limit for reconciling an unconfirmed claim or outcome, in ms. */
export const ACTION_RECONCILE_TIMEOUT_MS = 60_000;
/** Suggested delay before a refused request is retried, in s. */
export const RETRY_AFTER_S = 1;
/** Maximum length of a prompt or resume text, in characters. */
export const PROMPT_MAX_CHARACTERS = 400_000;
