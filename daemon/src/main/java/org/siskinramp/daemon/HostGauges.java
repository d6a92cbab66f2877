package org.siskinramp.daemon;

import jakarta.inject.Inject;
import org.siskinramp.daemon.metrics.Gauges;
import org.siskinramp.daemon.worker.Workers;
import org.siskinramp.host.EntryHost;
import org.siskinramp.time.Clock;

/** Registers the state of an entry host as gauges. */
final class HostGauges {

    private final Gauges gauges;
    private final EntryHost entryHost;
    private final Workers workers;
    private final Clock clock;

    @Inject
    HostGauges(Gauges gauges, EntryHost entryHost, Workers workers, Clock clock) {
        this.gauges = gauges;
        this.entryHost = entryHost;
        this.workers = workers;
        this.clock = clock;
    }

    void register() {
        registerLoadGauges();
        registerControlPlaneGauges();
    }

    private void registerLoadGauges() {
        gauges.register(
                "siskinramp_requests_in_progress",
                "Requests that have not ended, waiting ones too.",
                entryHost::requestsInProgress);
        gauges.register(
                "siskinramp_waiting_requests",
                "Requests that wait for a slot.",
                entryHost::waitingRequests);
        gauges.register(
                "siskinramp_unsettled_claims",
                "Claims whose end is not yet durable.",
                entryHost::unsettledClaims);
        gauges.register(
                "siskinramp_worker_queue", "Tasks that wait for a worker.", workers::queuedTasks);
        gauges.register(
                "siskinramp_backend_servers",
                "Backend servers in the configuration.",
                () -> entryHost.configuration().backendServers().size());
        gauges.register(
                "siskinramp_judged_backend_servers",
                "Backend servers whose warmth this host judges.",
                entryHost::coordinatedServerCount);
    }

    private void registerControlPlaneGauges() {
        gauges.register(
                "siskinramp_slots_held",
                "Slots that this host holds.",
                () -> entryHost.holdings().slots().size());
        gauges.register(
                "siskinramp_authority_left_milliseconds",
                "Time until this host may no longer use its slots.",
                this::authorityLeftMilliseconds);
        gauges.register(
                "siskinramp_configuration_version",
                "Configuration version that this host acts on.",
                () -> entryHost.configuration().version());
        gauges.register(
                "siskinramp_view_version",
                "Membership version that this host acts on.",
                () -> entryHost.membership().view().version());
    }

    private double authorityLeftMilliseconds() {
        long until = entryHost.membership().authorityUntilMilliseconds();
        return until == Long.MIN_VALUE ? 0 : Math.max(0, until - clock.monotonicMilliseconds());
    }
}
