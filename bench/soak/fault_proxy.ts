/** A loopback proxy that misbehaves on request, between two real processes. */

import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** How a proxy treats its connections. */
export enum ProxyFault {
  None = "none",
  /** Bytes of both directions come late. */
  Delay = "delay",
  /** Open connections are reset, and new ones too. */
  Reset = "reset",
  /** No byte passes in either direction, and nothing is closed. */
  Blackhole = "silent",
  /** Bytes towards the target are held up. */
  CutToTarget = "cut_to_target",
  /** Bytes towards the caller are held up. */
  CutToCaller = "cut_to_caller",
}

interface Pair {
  readonly caller: Socket;
  readonly target: Socket;
}

const HOST = "127.0.0.1";
const DELAY_MS = 250;

/** Forwards connections to one target. */
export class FaultProxy {
  readonly #server: Server;
  readonly #targetPort: number;
  readonly #pairs = new Set<Pair>();
  #fault = ProxyFault.None;

  private constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer((caller) => this.#accept(caller));
  }

  /** Listens on a free port. */
  static async create(targetPort: number): Promise<FaultProxy> {
    const proxy = new FaultProxy(targetPort);
    await new Promise<void>((resolve) => {
      proxy.#server.listen(0, HOST, resolve);
    });
    return proxy;
  }

  /** IP and port for callers. */
  get address(): string {
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Begins or, with `None`, ends a fault. */
  set fault(fault: ProxyFault) {
    this.#fault = fault;
    for (const pair of this.#pairs) this.#apply(pair);
  }

  /** Closes all connections. */
  close(): void {
    this.#server.close();
    for (const { caller, target } of this.#pairs) {
      caller.destroy();
      target.destroy();
    }
  }

  #accept(caller: Socket): void {
    const target = connect(this.#targetPort, HOST);
    const pair: Pair = { caller, target };
    this.#pairs.add(pair);
    this.#forward(caller, target);
    this.#forward(target, caller);
    this.#apply(pair);
  }

  #forward(from: Socket, to: Socket): void {
    from.setNoDelay(true);
    let waiting = 0;
    const late = (act: () => void) => {
      // What comes behind late bytes is late too, or it would overtake them.
      if (this.#fault !== ProxyFault.Delay && waiting === 0) return act();
      waiting++;
      setTimeout(() => {
        waiting--;
        act();
      }, DELAY_MS);
    };
    from.on("data", (bytes) => late(() => to.write(bytes)));
    from.on("end", () => late(() => to.end()));
    // A reset of one side is passed on to the other one.
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => this.#forget(from));
  }

  #forget(socket: Socket): void {
    for (const pair of this.#pairs) {
      const isOver = pair.caller.destroyed && pair.target.destroyed;
      const isMember = pair.caller === socket || pair.target === socket;
      if (isMember && isOver) this.#pairs.delete(pair);
    }
  }

  #apply({ caller, target }: Pair): void {
    const fault = this.#fault;
    if (fault === ProxyFault.Reset) {
      caller.resetAndDestroy();
      target.resetAndDestroy();
      return;
    }
    const isSilent = fault === ProxyFault.Blackhole;
    flow(caller, !isSilent && fault !== ProxyFault.CutToTarget);
    flow(target, !isSilent && fault !== ProxyFault.CutToCaller);
  }
}

function flow(socket: Socket, isOpen: boolean): void {
  if (isOpen) socket.resume();
  else socket.pause();
}
