/** Fields of each kind of deployment object. */

import { SLOTS_MAX } from "../constants.ts";
import { type Field, FieldType } from "./fields.ts";
import { Fencing, ObjectKind, ServiceForm } from "./types.ts";

const SHA256_PATTERN = {
  expression: /^[0-9a-f]{64}$/,
  requirement: "must be 64 lower-case hexadecimal digits",
};
const CALLS_PATTERN = {
  expression: /^(?:\s*(?:POST|PUT|PATCH|DELETE) \/[^\s,]*\s*(?:,|$))*$/,
  requirement:
    "must be a comma-separated list of METHOD /path with POST, PUT, PATCH or DELETE",
};
const WEIGHT_MAX = 1_000;
const TOKENS_MAX = 1_000_000;
const TARGET_MAX_MS = 86_400_000;
const PERCENT_MAX = 100;
const CALL_TIMEOUT_MAX_MS = 600_000;

/** Fields of each kind, in the order of the documentation. */
export const OBJECT_FIELDS: Readonly<Record<ObjectKind, readonly Field[]>> = {
  [ObjectKind.AvailabilityZone]: [
    { key: "region", type: FieldType.Text },
  ],
  [ObjectKind.Model]: [
    { key: "version", type: FieldType.Text },
    { key: "adapter", type: FieldType.Text, defaultValue: "none" },
    {
      key: "max_tokens",
      type: FieldType.Integer,
      defaultValue: "4096",
      min: 1,
      max: TOKENS_MAX,
    },
  ],
  [ObjectKind.Rank]: [
    { key: "order", type: FieldType.Integer, min: 0, max: 15 },
    {
      key: "target_ms",
      type: FieldType.Integer,
      min: 1,
      max: TARGET_MAX_MS,
    },
    {
      key: "floor_percent",
      type: FieldType.Integer,
      defaultValue: "0",
      min: 0,
      max: PERCENT_MAX,
    },
  ],
  [ObjectKind.Service]: [
    {
      key: "form",
      type: FieldType.Choice,
      choices: Object.values(ServiceForm),
    },
    { key: "model", type: FieldType.Text, defaultValue: "" },
    { key: "rank", type: FieldType.Text },
    {
      key: "non_idempotent",
      type: FieldType.List,
      defaultValue: "",
      pattern: CALLS_PATTERN,
    },
    {
      key: "call_limit_ms",
      type: FieldType.Integer,
      defaultValue: "10000",
      min: 100,
      max: CALL_TIMEOUT_MAX_MS,
    },
  ],
  [ObjectKind.Customer]: [
    { key: "key_sha256", type: FieldType.Text, pattern: SHA256_PATTERN },
    {
      key: "weight",
      type: FieldType.Integer,
      defaultValue: "1",
      min: 1,
      max: WEIGHT_MAX,
    },
    { key: "services", type: FieldType.List },
    { key: "ranks", type: FieldType.List },
  ],
  [ObjectKind.BackendServer]: [
    { key: "address", type: FieldType.Address },
    { key: "zone", type: FieldType.Text },
    { key: "service", type: FieldType.Text },
    { key: "slots", type: FieldType.Integer, min: 1, max: SLOTS_MAX },
    {
      key: "fencing",
      type: FieldType.Choice,
      choices: Object.values(Fencing),
      defaultValue: Fencing.Ignored,
    },
  ],
};
