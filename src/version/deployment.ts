/** An adopted revision of the deployment, indexed for lookups by requests. */

import { hashText } from "../hashing.ts";
import { NO_REVISION, type Revision } from "../ids.ts";
import {
  type BackendServer,
  type Customer,
  type DeploymentObject,
  type Model,
  ObjectKind,
  type Rank,
  type Service,
} from "./types.ts";

/** The objects of one revision; immutable. */
export class Deployment {
  readonly revision: Revision;
  readonly objects: readonly DeploymentObject[];
  readonly #services = new Map<string, Service>();
  readonly #models = new Map<string, Model>();
  readonly #ranks = new Map<string, Rank>();
  readonly #customersByKey = new Map<string, Customer>();
  readonly #servers = new Map<string, BackendServer>();

  private constructor(
    revision: Revision,
    objects: readonly DeploymentObject[],
  ) {
    this.revision = revision;
    this.objects = objects;
    for (const object of objects) this.#index(object);
  }

  /** Indexes the objects of a revision, which must have been validated. */
  static create(
    revision: Revision,
    objects: readonly DeploymentObject[],
  ): Deployment {
    return new Deployment(revision, objects);
  }

  /** Returns the deployment of a process without an adopted revision. */
  static empty(): Deployment {
    return new Deployment(NO_REVISION, []);
  }

  /** Returns the customer with this bearer key. */
  customerByKey(bearerKey: string): Customer | undefined {
    return this.#customersByKey.get(hashText(bearerKey));
  }

  /** Returns a service by name. */
  service(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /** Returns a model by name. */
  model(name: string): Model | undefined {
    return this.#models.get(name);
  }

  /** Returns a rank by name. */
  rank(name: string): Rank | undefined {
    return this.#ranks.get(name);
  }

  /** Returns all ranks, the most urgent first. */
  ranks(): readonly Rank[] {
    return [...this.#ranks.values()].sort((a, b) => a.order - b.order);
  }

  /** Returns a backend server by name. */
  server(name: string): BackendServer | undefined {
    return this.#servers.get(name);
  }

  /** Returns all backend servers. */
  servers(): readonly BackendServer[] {
    return [...this.#servers.values()];
  }

  #index(object: DeploymentObject): void {
    switch (object.kind) {
      case ObjectKind.Service:
        this.#services.set(object.name, object);
        break;
      case ObjectKind.Model:
        this.#models.set(object.name, object);
        break;
      case ObjectKind.Rank:
        this.#ranks.set(object.name, object);
        break;
      case ObjectKind.Customer:
        this.#customersByKey.set(object.keySha256, object);
        break;
      case ObjectKind.BackendServer:
        this.#servers.set(object.name, object);
        break;
      case ObjectKind.AvailabilityZone:
        break;
    }
  }
}
