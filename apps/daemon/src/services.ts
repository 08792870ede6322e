import type {TargetListener} from '@medlarlane/announce';
import type {ControlClient} from '@medlarlane/control-client';
import type {ControlService} from '@medlarlane/control-service';
import type {IdempotencyTable} from '@medlarlane/dedupe';
import type {Directory} from '@medlarlane/directory';
import type {CallerRouter, Listener, LocalServer, Peers} from '@medlarlane/forwarder';
import type {Clock} from '@medlarlane/lifecycle';
import type {BackgroundTasks} from '@medlarlane/lifecycle';
import type {LoadMeter} from '@medlarlane/load-meter';
import type {Logger} from '@medlarlane/logger';
import type {Lease, Ownership, RangeReleaser} from '@medlarlane/ownership';
import type {PoisonTable} from '@medlarlane/poison';
import type {Metrics, Tracer} from '@medlarlane/telemetry';
import type {TlsWatcher} from '@medlarlane/tls';
import type {DaemonSettings} from '@medlarlane/settings';
import type {DirectoryMeter} from './directoryMeter.js';
import type {InFlightRequests} from './inFlightRequests.js';
import type {ListenAddresses} from './listenAddresses.js';
import type {TargetSupervisor} from './targetSupervisor.js';

declare module '@medlarlane/kernel' {
  interface ServiceRegistry {
    settings: DaemonSettings;
    logger: Logger;
    clock: Clock;
    tasks: BackgroundTasks;
    metrics: Metrics;
    tracer: Tracer;
    tls: TlsWatcher | undefined;
    directoryMeter: DirectoryMeter;
    directory: Directory;
    lease: Lease;
    ownership: Ownership;
    idempotency: IdempotencyTable;
    poison: PoisonTable;
    loadMeter: LoadMeter;
    inFlightRequests: InFlightRequests;
    controlClient: ControlClient;
    controlService: ControlService | undefined;
    controlListener: {port: number};
    addresses: ListenAddresses;
    peers: Peers;
    localServer: LocalServer;
    callerRouter: CallerRouter;
    callerListener: Listener;
    peerListener: Listener;
    adminListener: Listener;
    targetListener: TargetListener;
    targetSupervisor: TargetSupervisor;
    rangeReleaser: RangeReleaser;
  }
}
