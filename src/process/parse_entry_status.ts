/** Parses the status objects of entries. */

import type {
  EntryStatus,
  ServerStatus,
  SuspicionStatus,
} from "./entry_status.ts";

type Unchecked<Type> = Partial<Record<keyof Type, unknown>>;

/** Returns a status, or `undefined` if another writer left something else. */
export function parseEntryStatus(text: string): EntryStatus | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return isEntryStatus(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

function isEntryStatus(value: unknown): value is EntryStatus {
  if (!isObject(value)) return false;
  const status: Unchecked<EntryStatus> = value;
  return areTexts(status.entry, status.zone, status.time) &&
    Number.isSafeInteger(status.revision) &&
    typeof status.stopping === "boolean" &&
    Array.isArray(status.servers) && status.servers.every(isServerStatus) &&
    Array.isArray(status.suspicions) &&
    status.suspicions.every(isSuspicionStatus);
}

function isServerStatus(value: unknown): boolean {
  if (!isObject(value)) return false;
  const { name, service, condition, inFlight }: Unchecked<ServerStatus> = value;
  return areTexts(name, service, condition) && Number.isFinite(inFlight);
}

function isSuspicionStatus(value: unknown): boolean {
  if (!isObject(value)) return false;
  const { fingerprint, blame, expiresInS }: Unchecked<SuspicionStatus> = value;
  return areTexts(fingerprint) && Number.isFinite(blame) &&
    Number.isFinite(expiresInS);
}

function isObject(value: unknown): value is object {
  return typeof value === "object" && value !== null;
}

function areTexts(...values: readonly unknown[]): boolean {
  return values.every((value) => typeof value === "string");
}
