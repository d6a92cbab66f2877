package org.siskinramp.host;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.platform.FakePlatform;
import org.siskinramp.routing.FakeServers;

/** Schedules the random faults of a randomised run, applies them and ends them. */
final class FaultSchedule {

    private static final int MINIMUM_FAULT_MILLISECONDS = 200;
    private static final int FAULT_JITTER_MILLISECONDS = 6_000;

    private final RandomisedRun run;
    private final UniformRandomProvider random;
    private final List<HostFault> hostFaults = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final List<Runnable> pendingEnds = new ArrayList<>();
    private final Set<String> disabledZones = new HashSet<>();

    FaultSchedule(RandomisedRun run) {
        this.run = run;
        this.random = run.deployment().random;
    }

    List<String> violations() {
        return violations;
    }

    /** Returns whether a host was paused or killed at any time of an interval. */
    boolean hadFault(String host, long from, long to) {
        return hostFaults.stream()
                .anyMatch(entry -> entry.host.equals(host) && entry.from <= to && entry.to >= from);
    }

    void scheduleFaults(int count, long milliseconds) {
        for (int index = 0; index < count; index++) {
            long at = random.nextLong(milliseconds);
            long durationMilliseconds =
                    MINIMUM_FAULT_MILLISECONDS + (long) random.nextInt(FAULT_JITTER_MILLISECONDS);
            int kind = random.nextInt(13);
            run.deployment().time.schedule(at, () -> begin(kind, durationMilliseconds));
        }
    }

    private VirtualHost randomHost() {
        List<VirtualHost> hosts = List.copyOf(run.deployment().hosts.values());
        return hosts.get(random.nextInt(hosts.size()));
    }

    private FakeServers.Server randomServer() {
        return run.deployment().servers.server("server-" + (1 + random.nextInt(6)));
    }

    private void begin(int kind, long durationMilliseconds) {
        switch (kind) {
            case 0 -> pause(randomHost(), durationMilliseconds);
            case 1 -> kill(randomHost(), durationMilliseconds);
            case 2 -> isolate(randomHost(), durationMilliseconds);
            case 3 -> cutOneWay(randomHost(), randomHost(), durationMilliseconds);
            case 4 -> cutPlatform(randomHost(), durationMilliseconds);
            case 5 -> {
                run.recordFault("platform_down");
                run.deployment().platform.setDown(true);
                scheduleEnd(durationMilliseconds, () -> run.deployment().platform.setDown(false));
            }
            case 6 -> loseAnswers(durationMilliseconds);
            case 7 -> {
                run.recordFault("messages_lost");
                run.deployment().network.setFaultShare(0.1);
                scheduleEnd(durationMilliseconds, () -> run.deployment().network.setFaultShare(0));
            }
            case 8 -> restart(randomServer());
            case 9 -> stopServer(randomServer(), durationMilliseconds);
            case 10 -> markLeaving(randomServer(), durationMilliseconds);
            case 11 -> slowDown(randomServer(), durationMilliseconds);
            default -> disableZone("zone-" + (1 + random.nextInt(3)), durationMilliseconds);
        }
    }

    private void scheduleEnd(long durationMilliseconds, Runnable action) {
        pendingEnds.add(action);
        run.deployment()
                .time
                .schedule(
                        durationMilliseconds,
                        () -> {
                            if (pendingEnds.remove(action)) {
                                action.run();
                            }
                        });
    }

    /** Ends all faults that are still active. */
    void endAll() {
        List.copyOf(pendingEnds).forEach(Runnable::run);
        pendingEnds.clear();
        run.deployment().network.restoreAll();
    }

    private void pause(VirtualHost host, long durationMilliseconds) {
        run.recordFault("pause_" + host.name());
        host.pause();
        recordHostFault(host, durationMilliseconds);
        scheduleEnd(durationMilliseconds, host::resume);
    }

    private void kill(VirtualHost host, long durationMilliseconds) {
        if (!host.isAlive()) {
            return;
        }
        run.recordFault("kill_" + host.name());
        host.kill();
        recordHostFault(host, durationMilliseconds);
        scheduleEnd(
                durationMilliseconds,
                () -> {
                    if (!host.isAlive()) {
                        host.start();
                    }
                });
    }

    private void recordHostFault(VirtualHost host, long durationMilliseconds) {
        long now = run.deployment().time.monotonicMilliseconds();
        hostFaults.add(new HostFault(host.name(), now, now + durationMilliseconds));
    }

    private void isolate(VirtualHost host, long durationMilliseconds) {
        run.recordFault("isolate_" + host.name());
        run.deployment().network.setIsolated(host.name(), true);
        scheduleEnd(
                durationMilliseconds,
                () -> run.deployment().network.setIsolated(host.name(), false));
    }

    private void cutOneWay(VirtualHost from, VirtualHost to, long durationMilliseconds) {
        run.recordFault("cut_" + from.name() + "_to_" + to.name());
        run.deployment().network.cutLink(from.name(), to.name());
        scheduleEnd(
                durationMilliseconds,
                () -> run.deployment().network.restoreLink(from.name(), to.name()));
    }

    private void cutPlatform(VirtualHost host, long durationMilliseconds) {
        run.recordFault("platform_cut_" + host.name());
        host.setPlatformCut(true);
        scheduleEnd(durationMilliseconds, () -> host.setPlatformCut(false));
    }

    private void loseAnswers(long durationMilliseconds) {
        run.recordFault("answers_lost");
        run.deployment().platform.setDefaultFault(this::randomFault);
        scheduleEnd(
                durationMilliseconds,
                () -> run.deployment().platform.setDefaultFault(() -> FakePlatform.Fault.NONE));
    }

    private FakePlatform.Fault randomFault() {
        FakePlatform.Fault[] faults = FakePlatform.Fault.values();
        return random.nextDouble() < 0.4
                ? faults[random.nextInt(faults.length)]
                : FakePlatform.Fault.NONE;
    }

    private void restart(FakeServers.Server server) {
        run.recordFault("restart_" + server.name());
        server.crash();
    }

    private void stopServer(FakeServers.Server server, long durationMilliseconds) {
        run.recordFault("stop_" + server.name());
        server.setDown(true);
        scheduleEnd(durationMilliseconds, () -> server.setDown(false));
    }

    private void markLeaving(FakeServers.Server server, long durationMilliseconds) {
        run.recordFault("leave_" + server.name());
        server.setLeaving(true);
        scheduleEnd(durationMilliseconds, () -> server.setLeaving(false));
    }

    private void slowDown(FakeServers.Server server, long durationMilliseconds) {
        run.recordFault("slow_" + server.name());
        server.setSlowness(5);
        scheduleEnd(durationMilliseconds, () -> server.setSlowness(1));
    }

    private void disableZone(String availabilityZone, long durationMilliseconds) {
        if (!disabledZones.add(availabilityZone)) {
            return;
        }
        run.changeAvailabilityZone(
                availabilityZone,
                AdministrativeState.OUT,
                () -> {
                    run.recordFault("out_" + availabilityZone);
                    checkDisabledZone(availabilityZone, durationMilliseconds);
                });
    }

    private void checkDisabledZone(String availabilityZone, long durationMilliseconds) {
        long outAt = run.deployment().time.monotonicMilliseconds();
        long limit = run.noNewWorkAfterMilliseconds();
        scheduleEnd(
                Math.max(durationMilliseconds, limit + 1_000),
                () -> {
                    for (String name : run.deployment().serversOf(availabilityZone)) {
                        long last = run.deployment().servers.server(name).lastNewWorkAt();
                        if (last > outAt + limit) {
                            violations.add(
                                    name + " got work at " + last + " although out since " + outAt);
                        }
                    }
                    enableZone(availabilityZone);
                });
    }

    private void enableZone(String availabilityZone) {
        run.changeAvailabilityZone(
                availabilityZone,
                AdministrativeState.IN,
                () -> run.recordFault("in_" + availabilityZone));
        disabledZones.remove(availabilityZone);
    }

    private record HostFault(String host, long from, long to) {}
}
