/** Scripted callers and servers for tests of the relay, without a network. */

import {
  type AttemptTarget,
  type BackendAnswer,
  lossOfSignal,
  type Opener,
} from "../../src/connection/backend_answer.ts";
import type { Reporter } from "../../src/connection/backend_report.ts";
import type { OrderCaller } from "../../src/connection/order_caller.ts";
import { AttemptLoss, LossCause, type Refusal } from "../../src/errors.ts";
import type {
  EntryId,
  Fingerprint,
  ObjectRevision,
  RequestId,
} from "../../src/ids.ts";
import type { LiveServer } from "../../src/process/live_server.ts";
import { Relay } from "../../src/process/relay.ts";
import { type Order, OrderKind } from "../../src/request/order.ts";
import type { RunCopier } from "../../src/request/run_copies.ts";
import { RouteTable } from "../../src/version/route_table.ts";
import { Fencing, ObjectKind } from "../../src/version/types.ts";

export const SERVICE = "engines";
export const PLAIN = "bookings";

/** Returns a listed server. */
export function createServer(
  name: string,
  changes: Partial<LiveServer> = {},
): LiveServer {
  return {
    kind: ObjectKind.BackendServer,
    name,
    address: `${name}:80`,
    zone: `zone-${name.slice(0, 1)}`,
    service: SERVICE,
    slots: 4,
    fencing: Fencing.Ignored,
    isLeaving: false,
    startedMs: 1,
    ...changes,
  };
}

/** Returns an order that arrives now. */
export function createOrder(changes: Partial<Order> = {}): Order {
  const nowMs = performance.now();
  const kind = changes.kind ?? OrderKind.Stream;
  return {
    id: "request-1" as RequestId,
    kind,
    isResumable: kind === OrderKind.Stream,
    service: kind === OrderKind.Stream ? SERVICE : PLAIN,
    route: "route",
    customer: "alpha",
    rank: {
      kind: ObjectKind.Rank,
      name: "priority-0",
      order: 0,
      targetMs: 1_000,
      floorPercent: 0,
    },
    fingerprint: "fingerprint" as Fingerprint,
    memoryTokens: kind === OrderKind.Stream ? 6_000 : 0,
    promptTokens: kind === OrderKind.Stream ? 5_000 : 0,
    prompt: kind === OrderKind.Stream ? "prompt-1" : "",
    resumeAfter: undefined,
    receivedMs: nowMs,
    deadlineMs: nowMs + 3_000,
    limitMs: nowMs + 3_000,
    sendsMax: 5,
    ...changes,
  };
}

/** What a test gives to its relay; what is absent fails or does nothing. */
interface ScriptedRelay {
  readonly askReport?: Reporter;
  readonly copyRun?: RunCopier;
  readonly onWorkPlaced?: () => void;
  /** Monotonic clock, in ms; the process's own if absent. */
  readonly now?: () => number;
}

/** Returns a relay that knows `servers`. */
export function createRelay(
  servers: readonly LiveServer[],
  {
    askReport = () => Promise.reject(new Error("no report")),
    copyRun = () => Promise.reject(new Error("no copy")),
    onWorkPlaced = () => undefined,
    now = () => performance.now(),
  }: ScriptedRelay = {},
): Relay {
  const relay = Relay.create({
    entry: "entry-1" as EntryId,
    log: () => undefined,
    askReport,
    copyRun,
    freeCopy: () => Promise.resolve(),
    now,
    random: () => 0,
    retryRatio: 10,
    retryAllowance: 100,
    retryWindowMs: 10_000,
    onWorkPlaced,
  });
  relay.adopt(createTable(1), "test");
  relay.setServers(
    servers.map((server, at) => ({
      name: server.name,
      revision: at + 1 as ObjectRevision,
      server,
    })),
    { revision: servers.length as ObjectRevision, isAfterOutage: false },
  );
  return relay;
}

/** Returns a configuration with one service of engines and one plain one. */
export function createTable(version: number): RouteTable {
  return RouteTable.create({
    version,
    routes: [],
    services: [
      {
        name: SERVICE,
        engine: { memoryTokens: 55_000, canBackUp: true },
      },
      { name: PLAIN, engine: undefined },
    ],
    customers: undefined,
    limits: {
      headerMaxBytes: 1,
      bodyMaxBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
}

/** What a caller was given. */
export class RecordedCaller implements OrderCaller {
  readonly #gone = new AbortController();
  text = "";
  status = 0;
  ending = "open";
  refusal: Refusal | undefined;

  private constructor() {}

  static create(): RecordedCaller {
    return new RecordedCaller();
  }

  get signal(): AbortSignal {
    return this.#gone.signal;
  }

  /** One line that says all that the caller was given. */
  get summary(): string {
    return `${this.status} ${this.ending}: ${this.text}`;
  }

  leave(): void {
    this.#gone.abort();
  }

  readonly answer: OrderCaller["answer"] = ({ status }, body) => {
    this.status = status;
    this.text += body.toString();
    this.ending = "whole";
  };
  readonly begin: OrderCaller["begin"] = ({ status }) => {
    this.status = status;
  };
  readonly write: OrderCaller["write"] = (bytes) => {
    this.text += [...bytes.toString().matchAll(/id: (\d+)/g)]
      .map(([, id]) => `${id} `).join("");
    return Promise.resolve();
  };
  readonly end = () => {
    this.ending = "whole";
  };
  readonly breakOff = () => {
    this.ending = "broken off";
  };
  readonly refuse = (refusal: Refusal) => {
    this.refusal = refusal;
    this.ending = `refused ${refusal.type}`;
  };
}

/** What a scripted server does with one sending. */
export type Script = (target: AttemptTarget) => Promise<BackendAnswer>;

/** Returns an opener that follows `scripts` in turn and notes what it was asked. */
export function followScripts(
  scripts: readonly Script[],
): { readonly open: Opener; readonly targets: AttemptTarget[] } {
  const targets: AttemptTarget[] = [];
  return {
    targets,
    open: (target) => {
      const script = scripts[targets.length];
      targets.push(target);
      if (script === undefined) throw new Error("one sending too many");
      return script(target);
    },
  };
}

/** A server that sends events `from` to `to` and then does what `end` says. */
export function events(
  from: number,
  to: number,
  end: "whole" | "cut" | "silent",
): Script {
  return (target) => {
    target.onSent();
    return Promise.resolve({
      head: { status: 200, headers: [], isFramed: true },
      hasNotRun: false,
      isReplaced: false,
      body: async function* () {
        for (let id = from; id <= to; id++) {
          yield Buffer.from(`id: ${id}\ndata: x\n\n`);
        }
        if (end === "whole") return;
        if (end === "silent") await aborted(target.signal);
        else yield Buffer.from(`id: ${to + 1}\ndata: unfinish`);
        throw lossOfSignal(target.signal);
      },
    });
  };
}

/** A server that answers a call whole. */
export function answers(status: number, body = "body"): Script {
  return (target) => {
    target.onSent();
    return Promise.resolve({
      head: { status, headers: [], isFramed: true },
      hasNotRun: false,
      isReplaced: false,
      body: async function* () {
        yield Buffer.from(body);
      },
    });
  };
}

/** A server that says that it did not run the order. */
export function rejects(isReplaced = false): Script {
  return (target) => {
    target.onSent();
    return Promise.resolve({
      head: { status: 503, headers: [], isFramed: true },
      hasNotRun: true,
      isReplaced,
      body: async function* () {},
    });
  };
}

/** A server that is lost, before or after the request was sent. */
export function loses(cause: LossCause): Script {
  return (target) => {
    if (cause !== LossCause.Unreachable) target.onSent();
    return Promise.reject(new AttemptLoss(cause));
  };
}

/** A server that never answers. */
export function hangs(): Script {
  return async (target) => {
    target.onSent();
    await aborted(target.signal);
    throw lossOfSignal(target.signal);
  };
}

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve();
    signal.addEventListener("abort", () => resolve());
  });
}
