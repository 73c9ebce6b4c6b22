/** `gypsumridge status`: prints the status of each entry. */

import { readFile } from "node:fs/promises";
import type { KeyValueStore } from "../../connection/key_value_store.ts";
import { STATUS_INTERVAL_MS } from "../../constants.ts";
import { ENTRY_STATUS_PREFIX, HEAD_NAME } from "../../version/object_names.ts";
import { requireHead } from "../../version/parse_head.ts";
import type { EntryStatus } from "../entry_status.ts";
import { parseEntryStatus } from "../parse_entry_status.ts";
import { ExitCode } from "../exit_code.ts";
import {
  areEntriesUpToDate,
  formatLoggedStatus,
  parseLoggedStatus,
} from "../logged_status.ts";
import type { Command, CommandContext } from "./command.ts";

/** Age, relative to the newest status, at which a status is left out, in ms. */
const STATUS_MAX_AGE_MS = 3 * STATUS_INTERVAL_MS;

/** Prints the status of all entries; fails if one has an older revision. */
export const STATUS_COMMAND: Command = {
  usage: "status",
  describe: "print the revision in force and the status of each entry",
  options: (argv) =>
    argv
      .option("json", { type: "boolean", default: false })
      .option("logs", {
        type: "string",
        array: true,
        default: [],
        describe: "log files of entries to read instead of the platform",
      }),
  run: async ({ args, platform, print }) => {
    if (args.logs.length > 0) return printLoggedStatus(args, print);
    const store = platform();
    const stored = await store.read(HEAD_NAME);
    const revision = stored === undefined
      ? 0
      : requireHead(stored.value).revision;
    const statuses = await readStatuses(store);
    if (args.json) {
      print(JSON.stringify({ revision, entries: statuses }));
    } else {
      printStatuses(print, { revision, statuses });
    }
    const isCurrent = statuses.every((status) => status.revision >= revision);
    return isCurrent ? ExitCode.Success : ExitCode.Failure;
  },
};

/** Prints the status from log files, for when the platform is unreachable. */
async function printLoggedStatus(
  { logs, json }: CommandContext["args"],
  print: CommandContext["print"],
): Promise<ExitCode> {
  const texts = await Promise.all(logs.map((file) => readFile(file, "utf8")));
  const lines = texts.flatMap((text) => text.split("\n"));
  const status = parseLoggedStatus(lines);
  if (json) print(JSON.stringify(status));
  else for (const line of formatLoggedStatus(status)) print(line);
  return areEntriesUpToDate(status) ? ExitCode.Success : ExitCode.Failure;
}

async function readStatuses(store: KeyValueStore): Promise<EntryStatus[]> {
  const listed = await store.list(ENTRY_STATUS_PREFIX);
  const newestMs = Math.max(...listed.map(({ updatedMs }) => updatedMs));
  const current = listed.filter(({ updatedMs }) =>
    newestMs - updatedMs < STATUS_MAX_AGE_MS
  );
  const stored = await Promise.all(current.map(({ name }) => store.read(name)));
  return stored
    .filter((object) => object !== undefined)
    .flatMap(({ value }) => parseEntryStatus(value) ?? [])
    .sort((a, b) => (a.entry < b.entry ? -1 : 1));
}

function printStatuses(
  print: CommandContext["print"],
  { revision, statuses }: {
    readonly revision: number;
    readonly statuses: readonly EntryStatus[];
  },
): void {
  print(`revision in force: ${revision}`);
  for (const status of statuses) {
    const stopping = status.stopping ? ", stopping" : "";
    const behind = status.revision < revision ? ", behind" : "";
    print(
      `entry ${status.entry} (${status.zone}): revision ${status.revision}${behind}${stopping}`,
    );
    for (const { name, service, condition, inFlight } of status.servers) {
      print(`  ${service}/${name}: ${condition}, ${inFlight} in flight`);
    }
    for (const { fingerprint, blame, expiresInS } of status.suspicions) {
      print(
        `  suspected request ${fingerprint}: blame ${blame}, expires in ${expiresInS} s`,
      );
    }
  }
}
