/**
 * A plain server in virtual time: it works on as many calls as it has slots,
 * queues a few more, and rejects the rest as not run.
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import {
  abortError,
  type BackendRequest,
  type BackendResponse,
} from "../../src/connection/backend_request.ts";

/** Size and speed of a plain server. */
export interface ServiceModel {
  readonly slots: number;
  /** Calls that may wait for a slot. */
  readonly queueMaxLength: number;
  /** Mean work of a call, in ms; single calls take 0.5 to 1.5 of it. */
  readonly meanServiceTimeMs: number;
}

/** The plain servers of the users' site files. */
export const REFERENCE_SERVICE: ServiceModel = {
  slots: 6,
  queueMaxLength: 12,
  meanServiceTimeMs: 42.9,
};

const WORK_MIN_PART = 0.5;
const STATUS_OK = 200;
const STATUS_FULL = 503;

/** One plain server. */
export class EmulatedService {
  readonly #model: ServiceModel;
  readonly #random: RandomGenerator;
  /** Starts the work of each call that waits for a slot. */
  readonly #queue: (() => void)[] = [];
  #running = 0;

  private constructor(model: ServiceModel, random: RandomGenerator) {
    this.#model = model;
    this.#random = random;
  }

  /** Makes an idle server. */
  static create(model: ServiceModel, random: RandomGenerator): EmulatedService {
    return new EmulatedService(model, random);
  }

  /** Serves a call; one whose sender leaves keeps no slot. */
  async open({ signal, onSent }: BackendRequest): Promise<BackendResponse> {
    onSent();
    const { slots, queueMaxLength: queueLength, meanServiceTimeMs: workMs } =
      this.#model;
    if (this.#running >= slots && this.#queue.length >= queueLength) {
      return createAnswer(STATUS_FULL);
    }
    const part = WORK_MIN_PART + uniformFloat64(this.#random);
    await new Promise<void>((resolve, reject) => {
      let timer: NodeJS.Timeout | undefined;
      const start = () => {
        this.#running++;
        timer = setTimeout(() => {
          this.#leave();
          resolve();
        }, part * workMs);
      };
      signal.addEventListener("abort", () => {
        reject(abortError(signal));
        const at = this.#queue.indexOf(start);
        if (at >= 0) this.#queue.splice(at, 1);
        else if (timer !== undefined) this.#leave();
        clearTimeout(timer);
      });
      if (this.#running < slots) start();
      else this.#queue.push(start);
    });
    return createAnswer(STATUS_OK);
  }

  #leave(): void {
    this.#running--;
    this.#queue.shift()?.();
  }
}

function createAnswer(status: number): BackendResponse {
  return {
    head: { status, headers: [], isFramed: true },
    hasNotRun: status !== STATUS_OK,
    isMisdirected: false,
    body: async function* () {},
  };
}
