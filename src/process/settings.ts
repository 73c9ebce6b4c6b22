/** Settings of the daemons, read from INI and checked as a whole. */

import { InvalidInput } from "../errors.ts";
import type { EntryId } from "../ids.ts";
import {
  type Field,
  FieldForm,
  FieldValues,
  readFields,
} from "../version/fields.ts";
import type { Finding } from "../version/finding.ts";
import {
  readIniSource,
  type Section,
  sectionPlace,
} from "../version/ini_source.ts";

/** In which order waiting requests are served. */
export enum QueueOrder {
  /** By rank with floors, fair between customers. */
  Fair = "fair",
  /** By arrival, as a baseline to compare with. */
  Arrival = "arrival",
}

/** How a server is chosen among those with room. */
export enum Routing {
  LeastLoaded = "least_loaded",
  /** Any, as a baseline to compare with. */
  Random = "random",
}

/** Decisions that an operator can change. */
export interface Policy {
  readonly queueOrder: QueueOrder;
  readonly routing: Routing;
  /** Whether urgent work takes the place of running patient work. */
  readonly preempts: boolean;
  /** Whether requests that will miss their target are refused at once. */
  readonly refusesEarly: boolean;
}

/** Settings of an entry. */
export interface EntrySettings {
  readonly id: EntryId;
  readonly zone: string;
  readonly host: string;
  readonly port: number;
  readonly peerPort: number;
  /** Key that authenticates cursors; the same on every entry. */
  readonly cursorKey: string;
  /** Key that peers show to each other; the same on every entry. */
  readonly peerKey: string;
  readonly platformAddress: string;
  readonly platformTimeoutMs: number;
  readonly bodyMaxBytes: number;
  /** Requests that may wait in one rank of a service. */
  readonly queueLength: number;
  /** Silence before the first token after which an attempt is lost, in ms. */
  readonly firstTokenStallMs: number;
  /** Time to the first token after which an attempt is lost, in ms. */
  readonly firstTokenLimitMs: number;
  /** Silence between tokens after which an attempt is lost, in ms. */
  readonly tokenStallMs: number;
  /** Time for an interrupted generation to find another server, in ms. */
  readonly resumeLimitMs: number;
  /** Connections are still accepted for so long after SIGTERM, in ms. */
  readonly stopNoticeMs: number;
  /** Requests are cut off so long after SIGTERM, in ms. */
  readonly stopDeadlineMs: number;
  readonly policy: Policy;
  readonly logLevel: string;
}

/** Settings of a steward. */
export interface StewardSettings {
  readonly id: EntryId;
  readonly platformAddress: string;
  readonly platformTimeoutMs: number;
  readonly port: number;
  readonly host: string;
  readonly leaseMs: number;
  readonly intervalMs: number;
  /** Action records older than this are removed, in ms. */
  readonly actionKeepMs: number;
  /** Revisions that are kept besides the one in force. */
  readonly revisionsKept: number;
  /** Unused chunks stay for so long after their last write, in ms. */
  readonly chunkKeepMs: number;
  readonly logLevel: string;
}

const PORT_MAX = 65_535;
const HOUR_MS = 3_600_000;
const DAY_MS = 86_400_000;
const SECRET = {
  expression: /^\S{16,}$/,
  says: "must have at least 16 characters without spaces",
};
const NAME = {
  expression: /^[a-z0-9][a-z0-9-]{0,62}$/,
  says: "must be 1 to 63 lower-case letters, digits and hyphens",
};
const IP = {
  expression: /^(?:\d{1,3}(?:\.\d{1,3}){3}|[0-9a-f:]+)$/i,
  says: "must be an IP number",
};

function integer(
  key: string,
  fallback: string,
  range: { readonly min: number; readonly max: number },
): Field {
  return { key, form: FieldForm.Integer, fallback, ...range };
}

const LISTEN_FIELDS: readonly Field[] = [
  { key: "host", form: FieldForm.Text, fallback: "127.0.0.1", pattern: IP },
  integer("port", "0", { min: 0, max: PORT_MAX }),
];

const PLATFORM_FIELDS: readonly Field[] = [
  { key: "address", form: FieldForm.Address },
  integer("timeout_ms", "1000", { min: 50, max: 30_000 }),
];

function onOff(key: string, fallback: "on" | "off"): Field {
  return { key, form: FieldForm.Choice, choices: ["on", "off"], fallback };
}

const POLICY_FIELDS: readonly Field[] = [
  {
    key: "queue_order",
    form: FieldForm.Choice,
    choices: Object.values(QueueOrder),
    fallback: QueueOrder.Fair,
  },
  {
    key: "routing",
    form: FieldForm.Choice,
    choices: Object.values(Routing),
    fallback: Routing.LeastLoaded,
  },
  onOff("preempt", "on"),
  onOff("refuse_early", "on"),
];

const LOG_FIELDS: readonly Field[] = [
  {
    key: "level",
    form: FieldForm.Choice,
    choices: ["error", "warn", "info"],
    fallback: "info",
  },
];

/** Sections and keys of an entry's settings. */
export const ENTRY_FIELDS: Readonly<Record<string, readonly Field[]>> = {
  entry: [
    { key: "id", form: FieldForm.Text, pattern: NAME },
    { key: "zone", form: FieldForm.Text, pattern: NAME },
    { key: "cursor_key", form: FieldForm.Text, pattern: SECRET },
    { key: "peer_key", form: FieldForm.Text, pattern: SECRET },
  ],
  listen: [
    ...LISTEN_FIELDS,
    integer("peer_port", "0", { min: 0, max: PORT_MAX }),
  ],
  platform: PLATFORM_FIELDS,
  limits: [
    integer("body_bytes", "2000000", { min: 1_000, max: 50_000_000 }),
    integer("queue_length", "1000", { min: 1, max: 100_000 }),
    integer("first_token_stall_ms", "3000", { min: 100, max: HOUR_MS }),
    integer("first_token_limit_ms", "10000", { min: 100, max: HOUR_MS }),
    integer("token_stall_ms", "1500", { min: 100, max: HOUR_MS }),
    integer("resume_limit_ms", "10000", { min: 100, max: HOUR_MS }),
  ],
  stop: [
    integer("notice_ms", "3000", { min: 0, max: HOUR_MS }),
    integer("deadline_ms", "900000", { min: 0, max: DAY_MS }),
  ],
  policy: POLICY_FIELDS,
  log: LOG_FIELDS,
};

/** Sections and keys of a steward's settings. */
export const STEWARD_FIELDS: Readonly<Record<string, readonly Field[]>> = {
  steward: [
    { key: "id", form: FieldForm.Text, pattern: NAME },
    integer("lease_ms", "5000", { min: 500, max: HOUR_MS }),
    integer("interval_ms", "1000", { min: 100, max: HOUR_MS }),
    integer("action_keep_ms", "604800000", { min: 1_000, max: 90 * DAY_MS }),
    integer("revisions_kept", "100", { min: 1, max: 10_000 }),
    integer("chunk_keep_ms", "3600000", { min: 1_000, max: 90 * DAY_MS }),
  ],
  listen: LISTEN_FIELDS,
  platform: PLATFORM_FIELDS,
  log: LOG_FIELDS,
};

/** Reads an entry's settings. Errors: `InvalidInput` with every finding. */
export function readEntrySettings(source: string, text: string): EntrySettings {
  const values = readSettings({ source, text, fields: ENTRY_FIELDS });
  return {
    id: values.entry.text("id") as EntryId,
    zone: values.entry.text("zone"),
    host: values.listen.text("host"),
    port: values.listen.integer("port"),
    peerPort: values.listen.integer("peer_port"),
    cursorKey: values.entry.text("cursor_key"),
    peerKey: values.entry.text("peer_key"),
    platformAddress: values.platform.text("address"),
    platformTimeoutMs: values.platform.integer("timeout_ms"),
    bodyMaxBytes: values.limits.integer("body_bytes"),
    queueLength: values.limits.integer("queue_length"),
    firstTokenStallMs: values.limits.integer("first_token_stall_ms"),
    firstTokenLimitMs: values.limits.integer("first_token_limit_ms"),
    tokenStallMs: values.limits.integer("token_stall_ms"),
    resumeLimitMs: values.limits.integer("resume_limit_ms"),
    stopNoticeMs: values.stop.integer("notice_ms"),
    stopDeadlineMs: values.stop.integer("deadline_ms"),
    policy: {
      queueOrder: values.policy.text("queue_order") as QueueOrder,
      routing: values.policy.text("routing") as Routing,
      preempts: values.policy.text("preempt") === "on",
      refusesEarly: values.policy.text("refuse_early") === "on",
    },
    logLevel: values.log.text("level"),
  };
}

/** Reads a steward's settings. Errors: `InvalidInput` with every finding. */
export function readStewardSettings(
  source: string,
  text: string,
): StewardSettings {
  const values = readSettings({ source, text, fields: STEWARD_FIELDS });
  return {
    id: values.steward.text("id") as EntryId,
    platformAddress: values.platform.text("address"),
    platformTimeoutMs: values.platform.integer("timeout_ms"),
    host: values.listen.text("host"),
    port: values.listen.integer("port"),
    leaseMs: values.steward.integer("lease_ms"),
    intervalMs: values.steward.integer("interval_ms"),
    actionKeepMs: values.steward.integer("action_keep_ms"),
    revisionsKept: values.steward.integer("revisions_kept"),
    chunkKeepMs: values.steward.integer("chunk_keep_ms"),
    logLevel: values.log.text("level"),
  };
}

interface SettingsInput {
  readonly source: string;
  readonly text: string;
  readonly fields: Readonly<Record<string, readonly Field[]>>;
}

interface SettingsValues {
  readonly [section: string]: FieldValues;
}

type Sections = SettingsValues & {
  readonly entry: FieldValues;
  readonly steward: FieldValues;
  readonly listen: FieldValues;
  readonly platform: FieldValues;
  readonly limits: FieldValues;
  readonly stop: FieldValues;
  readonly policy: FieldValues;
  readonly log: FieldValues;
};

function readSettings({ source, text, fields }: SettingsInput): Sections {
  const { sections, findings: formFindings } = readIniSource(source, text);
  const findings: Finding[] = [...formFindings];
  for (const section of sections) {
    if (fields[section.title] !== undefined) continue;
    findings.push({
      place: sectionPlace(section),
      message: `unknown section; allowed: ${Object.keys(fields).join(", ")}`,
    });
  }
  const values: Record<string, FieldValues> = {};
  for (const [title, sectionFields] of Object.entries(fields)) {
    const section = sections.find((candidate) => candidate.title === title) ??
      emptySection(source, title);
    values[title] = readFields(section, sectionFields, findings);
  }
  if (findings.length > 0) throw new InvalidInput(findings);
  return values as Sections;
}

function emptySection(source: string, title: string): Section {
  return { source, title, line: 0, entries: [] };
}
