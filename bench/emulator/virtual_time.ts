/** Lets the product's own code run in virtual time, far faster than the clock. */

import { install } from "@sinonjs/fake-timers";

/** Timers are the process's, so one emulation runs at a time. */
let isRunning = false;

/** Runs `act` with timers that fire in virtual time, until `endMs`. */
export async function runInVirtualTime(
  endMs: number,
  act: (clock: VirtualClock) => void,
): Promise<void> {
  if (isRunning) throw new Error("another emulation is running");
  isRunning = true;
  const settle = setImmediate;
  const clock = install({
    now: 0,
    toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval"],
  });
  try {
    act({ now: () => clock.now });
    while (clock.now < endMs && clock.countTimers() > 0) {
      clock.next();
      // Promises that the timer resolved go on before the next one fires.
      await new Promise((resolve) => settle(resolve));
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
