/** A TCP proxy on loopback that injects network faults. */

import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** The fault that a proxy injects. */
export enum ProxyFault {
  None = "none",
  /** Bytes in both directions are delayed. */
  Delay = "delay",
  /** Open and new connections are reset. */
  Reset = "reset",
  /** No bytes pass in either direction; connections stay open. */
  Blackhole = "silent",
  /** No bytes pass towards the target. */
  CutToTarget = "cut_to_target",
  /** No bytes pass towards the caller. */
  CutToCaller = "cut_to_caller",
}

interface ProxiedConnection {
  readonly caller: Socket;
  readonly target: Socket;
}

const HOST = "127.0.0.1";
const DELAY_MS = 250;

/** Forwards connections to one target. */
export class FaultProxy {
  readonly #server: Server;
  readonly #targetPort: number;
  readonly #targetHost: string;
  readonly #connections = new Set<ProxiedConnection>();
  /** Connections on which nothing passes any more. */
  readonly #silenced = new WeakSet<ProxiedConnection>();
  #fault = ProxyFault.None;

  private constructor(targetPort: number, targetHost: string) {
    this.#targetPort = targetPort;
    this.#targetHost = targetHost;
    this.#server = createServer((caller) => this.#accept(caller));
  }

  /** Creates a proxy that listens on a free port. */
  static async create(
    targetPort: number,
    targetHost = HOST,
  ): Promise<FaultProxy> {
    const proxy = new FaultProxy(targetPort, targetHost);
    await new Promise<void>((resolve) => {
      proxy.#server.listen(0, HOST, resolve);
    });
    return proxy;
  }

  /** IP and port on which the proxy listens. */
  get address(): string {
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Starts injecting a fault; `None` ends it. */
  set fault(fault: ProxyFault) {
    this.#fault = fault;
    for (const connection of this.#connections) this.#apply(connection);
  }

  /** Silences the open connections for good; later ones are not affected. */
  silenceOpen(): void {
    for (const connection of this.#connections) {
      setFlowing(connection.caller, false);
      setFlowing(connection.target, false);
      this.#silenced.add(connection);
    }
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    for (const { caller, target } of this.#connections) {
      caller.destroy();
      target.destroy();
    }
  }

  #accept(caller: Socket): void {
    const target = connect(this.#targetPort, this.#targetHost);
    const connection: ProxiedConnection = { caller, target };
    this.#connections.add(connection);
    this.#forward(caller, target);
    this.#forward(target, caller);
    this.#apply(connection);
  }

  #forward(from: Socket, to: Socket): void {
    from.setNoDelay(true);
    let delayedCount = 0;
    const maybeDelay = (forward: () => void) => {
      // Bytes that follow delayed bytes are delayed too, to keep their order.
      if (this.#fault !== ProxyFault.Delay && delayedCount === 0) {
        return forward();
      }
      delayedCount++;
      setTimeout(() => {
        delayedCount--;
        forward();
      }, DELAY_MS);
    };
    from.on("data", (bytes) => maybeDelay(() => to.write(bytes)));
    from.on("end", () => {
      // A reset that arrives with the last bytes looks like an end in order,
      // but the connection has no peer left.
      const isReset = from.remoteAddress === undefined;
      maybeDelay(() => isReset ? to.resetAndDestroy() : to.end());
    });
    // A reset on one side is forwarded to the other.
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => this.#removeClosed(from));
  }

  #removeClosed(socket: Socket): void {
    for (const connection of this.#connections) {
      const isClosed = connection.caller.destroyed &&
        connection.target.destroyed;
      const isMember = connection.caller === socket ||
        connection.target === socket;
      if (isMember && isClosed) this.#connections.delete(connection);
    }
  }

  #apply(connection: ProxiedConnection): void {
    if (this.#silenced.has(connection)) return;
    const { caller, target } = connection;
    const fault = this.#fault;
    if (fault === ProxyFault.Reset) {
      caller.resetAndDestroy();
      target.resetAndDestroy();
      return;
    }
    const isBlackhole = fault === ProxyFault.Blackhole;
    setFlowing(caller, !isBlackhole && fault !== ProxyFault.CutToTarget);
    setFlowing(target, !isBlackhole && fault !== ProxyFault.CutToCaller);
  }
}

function setFlowing(socket: Socket, isFlowing: boolean): void {
  if (isFlowing) socket.resume();
  else socket.pause();
}
