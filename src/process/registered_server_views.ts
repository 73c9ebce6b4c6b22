/** What an entry knows of each registered server, with the load on it. */

import {
  addLoad,
  NO_LOAD,
  type RegisteredServerView,
  type ServerLoad,
  subtractLoad,
} from "./registered_server.ts";

/** The views of all registered servers, by name. */
export class RegisteredServerViews {
  readonly #views = new Map<string, RegisteredServerView>();
  /** Names of the servers with load from this entry. */
  readonly #loaded = new Set<string>();
  /** Names of the servers with load from peer entries. */
  #peerLoaded: ReadonlySet<string> = new Set();
  /** The latest load of peer entries, until it is applied. */
  #pendingPeerLoads: (() => ReadonlyMap<string, ServerLoad>) | undefined;

  private constructor() {}

  /** Starts without servers. */
  static create(): RegisteredServerViews {
    return new RegisteredServerViews();
  }

  /** Returns all views by name, with the latest load of peer entries. */
  latest(): ReadonlyMap<string, RegisteredServerView> {
    this.#applyPeerLoads();
    return this.#views;
  }

  /** Returns a view by name; its load from peer entries may be outdated. */
  get(name: string): RegisteredServerView | undefined {
    return this.#views.get(name);
  }

  /** Adds or replaces the view of a server. */
  set(view: RegisteredServerView): void {
    const { server: { name }, ownLoad } = view;
    this.#views.set(name, view);
    if (hasLoad(ownLoad)) this.#loaded.add(name);
    else this.#loaded.delete(name);
  }

  /** Removes the view of a server. */
  delete(name: string): void {
    this.#views.delete(name);
    this.#loaded.delete(name);
  }

  /** Changes the view of a server, if there is one. */
  update(
    name: string,
    change: (view: RegisteredServerView) => Partial<RegisteredServerView>,
  ): void {
    const view = this.#views.get(name);
    if (view !== undefined) this.set({ ...view, ...change(view) });
  }

  /** Changes all views. */
  updateAll(
    change: (view: RegisteredServerView) => Partial<RegisteredServerView>,
  ): void {
    for (const name of this.#views.keys()) this.update(name, change);
  }

  /** Adds load from this entry to a server. */
  addLoad(name: string, load: ServerLoad): void {
    this.update(name, ({ ownLoad }) => ({ ownLoad: addLoad(ownLoad, load) }));
  }

  /** Removes load from this entry from a server. */
  removeLoad(name: string, load: ServerLoad): void {
    this.update(
      name,
      ({ ownLoad }) => ({ ownLoad: subtractLoad(ownLoad, load) }),
    );
  }

  /** Returns the load that this entry puts on servers, by server name. */
  ownLoads(): readonly (readonly [string, ServerLoad])[] {
    return [...this.#loaded].flatMap((name) => {
      const view = this.#views.get(name);
      return view === undefined ? [] : [[name, view.ownLoad] as const];
    });
  }

  /**
   * Sets the load of peer entries by server name. It is applied when it is next
   * read, because peers report far more often than a server is chosen.
   */
  setPeerLoads(loads: () => ReadonlyMap<string, ServerLoad>): void {
    this.#pendingPeerLoads = loads;
  }

  #applyPeerLoads(): void {
    const loads = this.#pendingPeerLoads?.();
    if (loads === undefined) return;
    this.#pendingPeerLoads = undefined;
    for (const name of this.#peerLoaded) {
      if (!loads.has(name)) this.update(name, () => ({ peerLoad: NO_LOAD }));
    }
    for (const [name, peerLoad] of loads) {
      this.update(name, () => ({ peerLoad }));
    }
    this.#peerLoaded = new Set(loads.keys());
  }
}

function hasLoad({ requests, tokens, unreadTokens }: ServerLoad): boolean {
  return requests > 0 || tokens > 0 || unreadTokens > 0;
}
