/**
 * A read that crashes the runners that run it comes every 5 s. Its client
 * retries a failure once, at another machine, as the clients of the sheet do.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { CannotRun, CONTACT_MS, runCase } from "../lib/cluster.mjs";
import { BOOK_PATH, READ_PATH, writeConfiguration } from "../lib/config.mjs";
import { PoisonRuns } from "../lib/poison.mjs";

const ROUNDS = 6;
const INTERVAL_MS = 5_000;
const RETRIES = 1;
/** Bookings of other members run when the read comes; they take 43 ms. */
const BOOKING_MS = 20;
const STATUS_OK = 200;
const STATUS_PROMISES = [429, 503];

await runCase(import.meta.url, async (cluster, record) => {
  const runs = new PoisonRuns(record);
  await cluster.startStore();
  writeConfiguration(cluster.store);
  await cluster.start(runs.runners(cluster));
  const entries = ["morava-a", "morava-b", "morava-c"].map((zone, at) =>
    cluster.entry(at + 1, zone)
  );
  await Promise.all(entries.map((entry) => entry.start()));
  await Promise.all(entries.map((entry) => entry.ready()));
  await sleep(CONTACT_MS + 1_000);
  for (const [at, entry] of entries.entries()) {
    const id = `sound-${at}`;
    const status = await entry.send({ id, path: `${READ_PATH}${at}` });
    if (status !== STATUS_OK) throw new CannotRun(`${id} got ${status}`);
  }
  const bookings = [];
  for (let round = 0; round < ROUNDS; round++) {
    bookings.push(...entries.map((entry, at) => {
      const id = `booking-${round}-${at}`;
      return entry.send({ id, path: `${BOOK_PATH}${id}`, method: "POST" });
    }));
    await sleep(BOOKING_MS);
    await Promise.all([sendWithRetries(entries, round), sleep(INTERVAL_MS)]);
  }
  const statuses = await Promise.all(bookings);
  record({
    what: "bookings of other members that ran beside it",
    sent: statuses.length,
    failed: statuses.filter((status) => status !== STATUS_OK).length,
  });
  return runs.verdict();
});

/** Sends the read as one client does: each attempt has an id of its own. */
async function sendWithRetries(entries, round) {
  for (let attempt = 0; attempt <= RETRIES; attempt++) {
    const status = await entries[(round + attempt) % entries.length].send({
      id: `poison-${round}-${attempt}`,
      path: `${READ_PATH}poison`,
    });
    // After 503 the client waits as told, which is longer than its deadline.
    if (status === STATUS_OK || STATUS_PROMISES.includes(status)) return;
  }
}
