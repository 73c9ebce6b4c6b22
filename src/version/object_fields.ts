/** The keys that each kind of deployment object may hold. */

import { type Field, FieldForm } from "./fields.ts";
import { Fencing, ObjectKind, ServiceForm } from "./types.ts";

const SHA256 = {
  expression: /^[0-9a-f]{64}$/,
  says: "must be 64 lower-case hexadecimal digits",
};
const CALLS = {
  expression: /^(?:\s*(?:POST|PUT|PATCH|DELETE) \/[^\s,]*\s*(?:,|$))*$/,
  says: "must be a list of METHOD /path with POST, PUT, PATCH or DELETE",
};
const SLOTS_MAX = 4_096;
const WEIGHT_MAX = 1_000;
const TOKENS_MAX = 1_000_000;
const TARGET_MAX_MS = 86_400_000;
const PERCENT_MAX = 100;
const CALL_LIMIT_MAX_MS = 600_000;

/** Fields of each kind, in the order of their docs. */
export const OBJECT_FIELDS: Readonly<Record<ObjectKind, readonly Field[]>> = {
  [ObjectKind.AvailabilityZone]: [
    { key: "region", form: FieldForm.Text },
  ],
  [ObjectKind.Model]: [
    { key: "version", form: FieldForm.Text },
    { key: "adapter", form: FieldForm.Text, fallback: "none" },
    {
      key: "max_tokens",
      form: FieldForm.Integer,
      fallback: "4096",
      min: 1,
      max: TOKENS_MAX,
    },
  ],
  [ObjectKind.Rank]: [
    { key: "order", form: FieldForm.Integer, min: 0, max: 15 },
    {
      key: "target_ms",
      form: FieldForm.Integer,
      min: 1,
      max: TARGET_MAX_MS,
    },
    {
      key: "floor_percent",
      form: FieldForm.Integer,
      fallback: "0",
      min: 0,
      max: PERCENT_MAX,
    },
  ],
  [ObjectKind.Service]: [
    {
      key: "form",
      form: FieldForm.Choice,
      choices: Object.values(ServiceForm),
    },
    { key: "model", form: FieldForm.Text, fallback: "" },
    { key: "rank", form: FieldForm.Text },
    {
      key: "non_idempotent",
      form: FieldForm.List,
      fallback: "",
      pattern: CALLS,
    },
    {
      key: "call_limit_ms",
      form: FieldForm.Integer,
      fallback: "10000",
      min: 100,
      max: CALL_LIMIT_MAX_MS,
    },
  ],
  [ObjectKind.Customer]: [
    { key: "key_sha256", form: FieldForm.Text, pattern: SHA256 },
    {
      key: "weight",
      form: FieldForm.Integer,
      fallback: "1",
      min: 1,
      max: WEIGHT_MAX,
    },
    { key: "services", form: FieldForm.List },
    { key: "ranks", form: FieldForm.List },
  ],
  [ObjectKind.BackendServer]: [
    { key: "address", form: FieldForm.Address },
    { key: "zone", form: FieldForm.Text },
    { key: "service", form: FieldForm.Text },
    { key: "slots", form: FieldForm.Integer, min: 1, max: SLOTS_MAX },
    {
      key: "fencing",
      form: FieldForm.Choice,
      choices: Object.values(Fencing),
      fallback: Fencing.Ignored,
    },
  ],
};
