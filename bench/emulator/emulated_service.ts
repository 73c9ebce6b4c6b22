/**
 * A backend server of a plain service in virtual time: it runs one call per
 * slot, queues a bounded number of others, and rejects the rest as not run.
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import {
  abortError,
  type BackendRequest,
  type BackendResponse,
} from "../../src/connection/backend_request.ts";

/** Size and speed of a plain service's backend server. */
export interface ServiceModel {
  readonly slots: number;
  /** Most calls that wait for a slot. */
  readonly queueMaxLength: number;
  /** Mean service time, in ms; a single call takes 0.5 to 1.5 times as long. */
  readonly meanServiceTimeMs: number;
}

/** The plain services' backend servers that the users' site files describe. */
export const REFERENCE_SERVICE: ServiceModel = {
  slots: 6,
  queueMaxLength: 12,
  meanServiceTimeMs: 42.9,
};

const SERVICE_TIME_MIN_FACTOR = 0.5;
const STATUS_OK = 200;
const STATUS_FULL = 503;

/** A plain service's backend server whose calls take virtual time. */
export class EmulatedService {
  readonly #model: ServiceModel;
  readonly #random: RandomGenerator;
  /** Functions that start the calls waiting for a slot. */
  readonly #queue: (() => void)[] = [];
  #running = 0;

  private constructor(model: ServiceModel, random: RandomGenerator) {
    this.#model = model;
    this.#random = random;
  }

  /** Creates an idle server. */
  static create(model: ServiceModel, random: RandomGenerator): EmulatedService {
    return new EmulatedService(model, random);
  }

  /** Serves a call; an aborted call releases its slot or place in the queue. */
  async open({ signal, onSent }: BackendRequest): Promise<BackendResponse> {
    onSent();
    const { slots, queueMaxLength, meanServiceTimeMs } = this.#model;
    if (this.#running >= slots && this.#queue.length >= queueMaxLength) {
      return createResponse(STATUS_FULL);
    }
    const factor = SERVICE_TIME_MIN_FACTOR + uniformFloat64(this.#random);
    await new Promise<void>((resolve, reject) => {
      let timer: NodeJS.Timeout | undefined;
      const start = () => {
        this.#running++;
        timer = setTimeout(() => {
          this.#releaseSlot();
          resolve();
        }, factor * meanServiceTimeMs);
      };
      signal.addEventListener("abort", () => {
        reject(abortError(signal));
        const at = this.#queue.indexOf(start);
        if (at >= 0) this.#queue.splice(at, 1);
        else if (timer !== undefined) this.#releaseSlot();
        clearTimeout(timer);
      });
      if (this.#running < slots) start();
      else this.#queue.push(start);
    });
    return createResponse(STATUS_OK);
  }

  #releaseSlot(): void {
    this.#running--;
    this.#queue.shift()?.();
  }
}

function createResponse(status: number): BackendResponse {
  return {
    head: { status, headers: [], isFramed: true },
    hasNotRun: status !== STATUS_OK,
    isMisdirected: false,
    body: async function* () {},
  };
}
