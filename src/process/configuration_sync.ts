/**
 * Adopts configurations from the store and from peers, and fetches one that a
 * peer has announced.
 */

import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { match } from "ts-pattern";
import type { ObjectStore, StoredObject } from "../connection/object_store.ts";
import type { PeerLink } from "../gossip/peer_link.ts";
import type { GossipDigest } from "../gossip/peer_protocol.ts";
import { messageOf } from "../errors.ts";
import type { ContentHash, EntryId } from "../ids.ts";
import type { RouteTable } from "../version/route_table.ts";
import { askSources, type Source } from "./ask_sources.ts";
import {
  type Announcement,
  ConfigurationAnnouncements,
} from "./configuration_announcements.ts";
import {
  fetchOrder,
  type FetchSource,
  FetchSourceKind,
} from "./configuration_fetch_order.ts";
import { LOG_EVENTS } from "./log_events.ts";
import type { Log } from "./log.ts";
import type { Relay } from "./relay.ts";

/** Where the configuration is stored, and how it is parsed. */
export interface ConfigurationSource {
  readonly kind: string;
  readonly name: string;
  /** Errors: throws when the configuration is incomplete or invalid. */
  readonly parse: (spec: unknown) => RouteTable;
}

/** Dependencies of a configuration sync. */
export interface ConfigurationSyncOptions {
  readonly objects: ObjectStore;
  readonly configuration: ConfigurationSource;
  readonly relay: Relay;
  readonly log: Log;
  /** Called when a configuration was adopted. */
  readonly onConfiguration: (table: RouteTable) => void;
  /** Announces the adopted version to the peers. */
  readonly broadcastDigest: () => void;
}

/** Chunk name under which peers request the configuration. */
const CONFIGURATION_CHUNK = "configuration" as ContentHash;
/** The same, answered only if small enough to be copied between peers. */
const SMALL_CONFIGURATION_CHUNK = "small-configuration" as ContentHash;
/**
 * Largest configuration answered under that name; a slow link transfers it in
 * 0.1 s. Larger ones are read from the store.
 */
const SMALL_CONFIGURATION_MAX_CHARACTERS = 65_536;
/** Time after which another source is asked beside one, in ms. */
const OVERDUE_MS: Readonly<Record<FetchSourceKind, number>> = {
  [FetchSourceKind.PeerIfSmall]: 150,
  // A slow store answers in 240 ms.
  [FetchSourceKind.Store]: 300,
  [FetchSourceKind.Peer]: 400,
};
/** Delay after all sources were asked in vain, in ms. */
const RETRY_DELAY_MS = 250;
/** Time without the announced configuration after which it is logged, in ms. */
const BEHIND_LOG_AFTER_MS = 500;
/** Shortest time between two of these log lines, in ms. */
const BEHIND_LOG_INTERVAL_MS = 1_000;
const MS_PER_S = 1_000;

/** Keeps the newest configuration that the store or a peer holds in force. */
export class ConfigurationSync {
  readonly #options: ConfigurationSyncOptions;
  readonly #announcements = ConfigurationAnnouncements.create<PeerLink>();
  /** The object that holds the adopted configuration. */
  #object: StoredObject | undefined;
  /** The same as JSON or empty, cached once a peer has requested it. */
  #json: string | undefined;
  #isFetching = false;
  #behindLoggedMs = Number.NEGATIVE_INFINITY;

  private constructor(options: ConfigurationSyncOptions) {
    this.#options = options;
  }

  /** Creates a sync without a configuration. */
  static create(options: ConfigurationSyncOptions): ConfigurationSync {
    return new ConfigurationSync(options);
  }

  /**
   * Adopts the configuration in an object if it is newer; returns whether it
   * did. One that can't be parsed is logged.
   */
  adopt(object: StoredObject, source = "platform"): boolean {
    const { configuration, relay, log, onConfiguration } = this.#options;
    try {
      const table = configuration.parse(object.spec);
      const behindMs = this.#announcements.behindMs(performance.now());
      const origin = { source, behind_ms: Math.round(behindMs) };
      if (!relay.adopt(table, origin)) return false;
      relay.context.metrics.configurationBehindSeconds
        .observe(behindMs / MS_PER_S);
      this.#announcements.markAdopted(table.version);
      this.#object = object;
      this.#json = undefined;
      onConfiguration(table);
      this.#options.broadcastDigest();
      return true;
    } catch (error) {
      log(LOG_EVENTS.revisionFailed, {
        revision: object.revision,
        source,
        reason: messageOf(error),
      });
      return false;
    }
  }

  /** Records the version that a peer holds, and fetches it if it is newer. */
  recordAnnouncement({ entry, orders }: GossipDigest, link: PeerLink): void {
    const { relay } = this.#options;
    const version = orders?.configuration ?? -1;
    this.#announcements.record(
      { peer: entry, version, link, heardMs: performance.now() },
      relay.configurationVersion,
    );
    this.#logIfBehind();
    this.#fetch();
  }

  /** Drops a peer whose process has ended. */
  forgetPeer(peer: EntryId): void {
    this.#announcements.forgetPeer(peer);
  }

  /** Returns the adopted configuration for a peer that requests it. */
  readChunk(name: ContentHash): string | undefined {
    if (this.#object === undefined) return undefined;
    this.#json ??= formatObject(this.#object);
    const { length } = this.#json;
    const isTooLarge = name === SMALL_CONFIGURATION_CHUNK &&
      length > SMALL_CONFIGURATION_MAX_CHARACTERS;
    return length === 0 || isTooLarge ? undefined : this.#json;
  }

  /** Fetches until no linked peer has announced a newer configuration. */
  async #fetch(): Promise<void> {
    if (this.#isFetching) return;
    this.#isFetching = true;
    try {
      while (this.#newerAnnouncements().length > 0) {
        const isAdopted = await askSources(this.#sources());
        if (!isAdopted) await sleep(RETRY_DELAY_MS);
      }
    } finally {
      this.#isFetching = false;
    }
  }

  *#sources(): Generator<Source<true> | undefined, void> {
    const peers = () => this.#newerAnnouncements().map(({ peer }) => peer);
    for (const source of fetchOrder(peers)) {
      yield source && {
        overdueMs: OVERDUE_MS[source.kind],
        ask: async () => await this.#fetchFrom(source) || undefined,
      };
    }
  }

  /** Announcements of newer versions whose peers can be asked. */
  #newerAnnouncements(): readonly Announcement<PeerLink>[] {
    return this.#announcements
      .newerThan(this.#options.relay.configurationVersion)
      .filter(({ link }) => link.isOpen);
  }

  /** Returns whether a newer configuration was adopted from a source. */
  #fetchFrom(source: FetchSource): Promise<boolean> {
    return match(source)
      .with({ kind: FetchSourceKind.Store }, () => this.#fetchFromStore())
      .with(
        { kind: FetchSourceKind.PeerIfSmall },
        ({ peer }) => this.#fetchFromPeer(peer, SMALL_CONFIGURATION_CHUNK),
      )
      .with(
        { kind: FetchSourceKind.Peer },
        ({ peer }) => this.#fetchFromPeer(peer, CONFIGURATION_CHUNK),
      )
      .exhaustive();
  }

  async #fetchFromStore(): Promise<boolean> {
    const { objects, configuration: { kind, name }, log } = this.#options;
    try {
      const stored = await objects.read(kind, name);
      return stored !== undefined && this.adopt(stored);
    } catch (error) {
      log(LOG_EVENTS.platformUnreachable, { kind, reason: messageOf(error) });
      return false;
    }
  }

  async #fetchFromPeer(peer: EntryId, chunk: ContentHash): Promise<boolean> {
    const announcement = this.#newerAnnouncements()
      .find((newer) => newer.peer === peer);
    const json = await announcement?.link.requestChunk(chunk);
    if (json === undefined) return false;
    try {
      return this.adopt(JSON.parse(json), peer);
    } catch (error) {
      this.#options.log(LOG_EVENTS.revisionFailed, {
        source: peer,
        reason: messageOf(error),
      });
      return false;
    }
  }

  #logIfBehind(): void {
    const nowMs = performance.now();
    const behindMs = this.#announcements.behindMs(nowMs);
    const isDue = nowMs - this.#behindLoggedMs >= BEHIND_LOG_INTERVAL_MS;
    if (behindMs < BEHIND_LOG_AFTER_MS || !isDue) return;
    this.#behindLoggedMs = nowMs;
    const { configurationVersion } = this.#options.relay;
    const announcements = this.#announcements.newerThan(configurationVersion);
    this.#options.log(LOG_EVENTS.configurationBehind, {
      adopted: configurationVersion,
      announced: announcements.map(({ peer, version }) => `${peer} ${version}`),
      behind_ms: Math.round(behindMs),
    });
  }
}

/** Returns the object as JSON; empty if it is nested too deeply for that. */
function formatObject(object: StoredObject): string {
  try {
    return JSON.stringify(object);
  } catch {
    return "";
  }
}
