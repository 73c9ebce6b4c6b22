/** Runs production code in virtual time, much faster than real time. */

import { install } from "@sinonjs/fake-timers";

/** Timers are global to the process, so only one emulation runs at a time. */
let isRunning = false;

/**
 * Calls `start`, then fires its timers in virtual time until `endMs`.
 *
 * Errors: rejects if another emulation is running in this process.
 */
export async function runInVirtualTime(
  endMs: number,
  start: (clock: VirtualClock) => void,
): Promise<void> {
  if (isRunning) throw new Error("an emulation is already running");
  isRunning = true;
  const scheduleImmediate = setImmediate;
  const clock = install({
    now: 0,
    toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval"],
  });
  try {
    start({ now: () => clock.now });
    while (clock.now < endMs && clock.countTimers() > 0) {
      clock.next();
      // Lets promises that this timer resolved continue before the next timer.
      await new Promise((resolve) => scheduleImmediate(resolve));
    }
  } finally {
    clock.uninstall();
    isRunning = false;
  }
}

/** The clock of an emulation, in ms from its start. */
export interface VirtualClock {
  readonly now: () => number;
}
