/**
 * The entries are stopped and started in turn while the store carries out some
 * writes late and without an answer. Then a booking that crashes the runner that
 * runs it comes every 4 s, at each entry in turn.
 */

import { setTimeout as sleep } from "node:timers/promises";
import {
  CannotRun,
  CONTACT_MS,
  HAS_TROUBLE,
  runCase,
} from "../lib/cluster.mjs";
import { BOOK_PATH, writeConfiguration } from "../lib/config.mjs";
import { PoisonRuns } from "../lib/poison.mjs";

const INTERVAL_MS = 4_000;
const BOOKINGS = 12;
/** Pause between the entries that are stopped, and until each starts again. */
const GAP_MS = 2_000;
const RESTART_MS = 500;
/** When the store carries out a late write; 1 to 6 s. */
const LATE_MS = 5_000;
/** Largest length and share of lost answers of the site file. */
const LOST_MAX_MS = 4_500;
const LOST_SHARE_MAX = 0.35;
/** After this time each entry has read the list of entries again. */
const SETTLE_MS = 28_000;
const STATUS_OK = 200;
/** Kind of the objects under which entries register. */
const KIND = "gypsumridge-entries";

await runCase(import.meta.url, async (cluster, record) => {
  const runs = new PoisonRuns(record, true);
  const lateMs = [];
  await cluster.startStore((method, kind, name) => {
    const isLate = HAS_TROUBLE && method === "DELETE";
    if (isLate) lateMs.push(Date.now());
    record({ what: "write call", method, kind, name: name ?? "", isLate });
    return isLate ? LATE_MS : undefined;
  });
  writeConfiguration(cluster.store);
  await cluster.start(runs.runners(cluster));
  const entries = ["morava-a", "morava-b", "morava-c"].map((zone, at) =>
    cluster.entry(at + 1, zone)
  );
  await Promise.all(entries.map((entry) => entry.start()));
  await Promise.all(entries.map((entry) => entry.ready()));
  await sleep(CONTACT_MS + 1_000);
  await Promise.all(entries.map(async (entry, at) => {
    await sleep(at * GAP_MS);
    await entry.term();
    await sleep(RESTART_MS);
    await entry.start();
    await entry.ready();
  }));
  if (HAS_TROUBLE) checkDose(lateMs, cluster.store.writeTimesMs, record);
  await sleep(SETTLE_MS);
  record({ what: "registered", names: cluster.store.names(KIND) });
  for (const [at, entry] of entries.entries()) {
    const id = `sound-${at}`;
    const path = `${BOOK_PATH}${at}`;
    const status = await entry.send({ id, path, method: "POST" });
    if (status !== STATUS_OK) throw new CannotRun(`${id} got ${status}`);
  }
  for (let at = 0; at < BOOKINGS; at++) {
    await Promise.all([
      entries[at % entries.length].send({
        id: `poison-${at}`,
        path: `${BOOK_PATH}poison`,
        method: "POST",
      }),
      sleep(INTERVAL_MS),
    ]);
  }
  return runs.verdict();
});

/** Checks that the lost answers stay within the limits of the site file. */
function checkDose(lateMs, writeTimesMs, record) {
  const [first = 0] = lateMs;
  const last = lateMs.at(-1) ?? 0;
  const writes = writeTimesMs.filter((timeMs) =>
    timeMs >= first && timeMs <= last
  );
  const share = lateMs.length / writes.length;
  record({ what: "answers lost", forMs: last - first, share });
  if (last - first > LOST_MAX_MS || share > LOST_SHARE_MAX) {
    throw new CannotRun("more answers were lost than the site file names");
  }
}
