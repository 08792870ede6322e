import {DisposableStore} from '@medlarlane/lifecycle';

/** Service types by name. Packages add their services by declaration merging. */
// eslint-disable-next-line @typescript-eslint/no-empty-object-type -- Extended by the packages that register services.
export interface ServiceRegistry {}

export type ServiceName = keyof ServiceRegistry;

/** Creates a service. `store` holds the cleanup steps that run when the kernel stops. */
export type ServiceFactory<T> = (kernel: Kernel, store: DisposableStore) => T | Promise<T>;

/**
 * Dependency injection container. Each service is created once, after the services it depends on.
 */
export class Kernel {
  private readonly factories = new Map<string, ServiceFactory<unknown>>();
  private readonly services = new Map<string, Promise<unknown>>();
  private readonly store = new DisposableStore();

  register<K extends ServiceName>(name: K, factory: ServiceFactory<ServiceRegistry[K]>): this {
    if (this.factories.has(name)) throw new Error(`Service ${String(name)} is registered twice`);
    this.factories.set(name, factory);
    return this;
  }

  has(name: ServiceName): boolean {
    return this.factories.has(name);
  }

  /** Returns the service and creates it on first use. A dependency cycle never resolves. */
  get<K extends ServiceName>(name: K): Promise<ServiceRegistry[K]> {
    const existing = this.services.get(name);
    if (existing) return existing as Promise<ServiceRegistry[K]>;
    const factory = this.factories.get(name);
    if (!factory) throw new Error(`Service ${String(name)} is not registered`);
    const created = this.create(factory);
    this.services.set(name, created);
    return created as Promise<ServiceRegistry[K]>;
  }

  /** Creates every registered service. */
  async start(): Promise<void> {
    for (const name of this.factories.keys()) await this.get(name as ServiceName);
  }

  /** Releases the services in the reverse order of their creation. */
  stop(): Promise<void> {
    return this.store.dispose();
  }

  private async create(factory: ServiceFactory<unknown>): Promise<unknown> {
    const serviceStore = new DisposableStore();
    const service = await factory(this, serviceStore);
    this.store.add(() => serviceStore.dispose());
    return service;
  }
}
