/** Numbers shared across modules, each with its unit in its name. */

/** Largest value that the platform's object API stores, in bytes. */
export const PLATFORM_VALUE_MAX_BYTES = 1_000_000;
/** How long one watch waits at the platform before it is renewed, in ms. */
export const WATCH_TIMEOUT_MS = 10_000;
/** Pause before a failed platform call is tried again, in ms. */
export const PLATFORM_RETRY_DELAY_MS = 250;
/** How often an entry asks the platform for its list of instances, in ms. */
export const INSTANCE_LIST_INTERVAL_MS = 1_000;
/** How often an entry asks a backend server for its report, in ms. */
export const REPORT_INTERVAL_MS = 400;
/** Time limit of one report call, in ms. */
export const REPORT_TIMEOUT_MS = 800;
/** A backend server gets new work only on a report younger than this, in ms. */
export const REPORT_MAX_AGE_MS = 2_000;
/** How often an entry sends its digest to each chosen peer, in ms. */
export const DIGEST_INTERVAL_MS = 500;
/** How many peers receive an entry's digest in one interval. */
export const DIGEST_FANOUT = 6;
/** How long an entry waits for a chunk asked of a peer, in ms. */
export const PEER_CHUNK_TIMEOUT_MS = 1_000;
/** How often an entry writes its status object when nothing changed, in ms. */
export const STATUS_INTERVAL_MS = 10_000;
/** Customers are spread over this many chunks of a revision. */
export const CUSTOMER_BUCKETS = 256;
/** Backend servers are spread over this many chunks of a revision. */
export const BACKEND_SERVER_BUCKETS = 16;
/** How long a suspicion lasts after the last loss it is based on, in ms. */
export const SUSPICION_TTL_MS = 600_000;
/** Blame at which a request is refused; the first loss counts 1. */
export const SUSPICION_BLAME_LIMIT = 2;
/** Blame of a later loss that came before the request had proved harmless. */
export const SUSPICION_BLAME_BEFORE_PROGRESS = 1;
/** Blame of a later loss that came after it. */
export const SUSPICION_BLAME_AFTER_PROGRESS = 0.25;
/** A stream that delivered this many tokens has proved harmless for now. */
export const SUSPICION_PROGRESS_TOKENS = 2;
/** Prompt tokens that an engine reads in a ms, on the users' sheets. */
export const PREFILL_TOKENS_PER_MS = 5;
/** Lost attempts, reattachments included, that one generation survives. */
export const ATTEMPT_FAILURES_MAX = 12;
/** How long a failed backend server is kept out of new work, in ms. */
export const EJECTION_DURATION_MS = 3_000;
/** Largest part of a service's backend servers that may be ejected at once. */
export const EJECTION_MAX_FRACTION = 0.5;
/** Largest answer of an action that is kept for repeats, in bytes. */
export const ACTION_RESPONSE_MAX_BYTES = 512_000;
/** Allowance for a claim's holder to store the outcome of its call, in ms. */
export const ACTION_OUTCOME_GRACE_MS = 1_000;
/** How often a waiting repeat reads the action's record, in ms. */
export const ACTION_POLL_INTERVAL_MS = 100;
/** An action is not sent once its claim is older than this, in ms. */
export const ACTION_CLAIM_MAX_AGE_MS = 2_000;
/** How long an unconfirmed claim or outcome is followed up, in ms. */
export const ACTION_RECONCILE_TIMEOUT_MS = 60_000;
/** Suggested wait before a refused request is repeated, in s. */
export const RETRY_AFTER_S = 1;
/** A caller's resume text or prompt may hold this many characters. */
export const PROMPT_MAX_CHARACTERS = 400_000;
