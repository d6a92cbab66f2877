package org.siskinramp.host;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.siskinramp.configuration.ServiceState;
import org.siskinramp.platform.FakePlatform;
import org.siskinramp.routing.FakeServers;

/** Draws faults of a randomised run, applies them and ends them. */
final class FaultSchedule {

    private static final int SHORTEST_MILLISECONDS = 200;
    private static final int LONGEST_MILLISECONDS = 6_000;

    private final RandomisedRun run;
    private final UniformRandomProvider random;
    private final List<Disturbance> disturbances = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final List<Runnable> open = new ArrayList<>();
    private final Set<String> out = new HashSet<>();

    FaultSchedule(RandomisedRun run) {
        this.run = run;
        this.random = run.deployment().random;
    }

    List<String> violations() {
        return violations;
    }

    /** Tells whether a host was paused or killed within a time. */
    boolean disturbed(String host, long from, long to) {
        return disturbances.stream()
                .anyMatch(entry -> entry.host.equals(host) && entry.from <= to && entry.to >= from);
    }

    void draw(int count, long milliseconds) {
        for (int index = 0; index < count; index++) {
            long at = random.nextLong(milliseconds);
            long lasts = SHORTEST_MILLISECONDS + (long) random.nextInt(LONGEST_MILLISECONDS);
            int kind = random.nextInt(13);
            run.deployment().time.schedule(at, () -> begin(kind, lasts));
        }
    }

    private VirtualHost anyHost() {
        List<VirtualHost> hosts = List.copyOf(run.deployment().hosts.values());
        return hosts.get(random.nextInt(hosts.size()));
    }

    private FakeServers.Server anyServer() {
        return run.deployment().servers.server("server-" + (1 + random.nextInt(6)));
    }

    private void begin(int kind, long lasts) {
        switch (kind) {
            case 0 -> pause(anyHost(), lasts);
            case 1 -> kill(anyHost(), lasts);
            case 2 -> isolate(anyHost(), lasts);
            case 3 -> cutOneWay(anyHost(), anyHost(), lasts);
            case 4 -> cutPlatform(anyHost(), lasts);
            case 5 -> {
                run.note("platform_down");
                run.deployment().platform.setDown(true);
                end(lasts, () -> run.deployment().platform.setDown(false));
            }
            case 6 -> loseAnswers(lasts);
            case 7 -> {
                run.note("messages_lost");
                run.deployment().network.setLossShare(0.1);
                end(lasts, () -> run.deployment().network.setLossShare(0));
            }
            case 8 -> restart(anyServer());
            case 9 -> stopServer(anyServer(), lasts);
            case 10 -> leave(anyServer(), lasts);
            case 11 -> slow(anyServer(), lasts);
            default -> takeOut("zone-" + (1 + random.nextInt(3)), lasts);
        }
    }

    private void end(long lasts, Runnable action) {
        open.add(action);
        run.deployment()
                .time
                .schedule(
                        lasts,
                        () -> {
                            if (open.remove(action)) {
                                action.run();
                            }
                        });
    }

    /** Ends all faults that have not ended. */
    void heal() {
        List.copyOf(open).forEach(Runnable::run);
        open.clear();
        run.deployment().network.healAll();
    }

    private void pause(VirtualHost host, long lasts) {
        run.note("pause_" + host.name());
        host.pause();
        disturb(host, lasts);
        end(lasts, host::resume);
    }

    private void kill(VirtualHost host, long lasts) {
        if (!host.isAlive()) {
            return;
        }
        run.note("kill_" + host.name());
        host.kill();
        disturb(host, lasts);
        end(
                lasts,
                () -> {
                    if (!host.isAlive()) {
                        host.start();
                    }
                });
    }

    private void disturb(VirtualHost host, long lasts) {
        long now = run.deployment().time.monotonicMilliseconds();
        disturbances.add(new Disturbance(host.name(), now, now + lasts));
    }

    private void isolate(VirtualHost host, long lasts) {
        run.note("isolate_" + host.name());
        run.deployment().network.isolate(host.name(), true);
        end(lasts, () -> run.deployment().network.isolate(host.name(), false));
    }

    private void cutOneWay(VirtualHost from, VirtualHost to, long lasts) {
        run.note("cut_" + from.name() + "_to_" + to.name());
        run.deployment().network.cut(from.name(), to.name());
        end(lasts, () -> run.deployment().network.heal(from.name(), to.name()));
    }

    private void cutPlatform(VirtualHost host, long lasts) {
        run.note("platform_cut_" + host.name());
        host.setPlatformCut(true);
        end(lasts, () -> host.setPlatformCut(false));
    }

    private void loseAnswers(long lasts) {
        run.note("answers_lost");
        run.deployment().platform.failOtherWrites(this::randomFault);
        end(lasts, () -> run.deployment().platform.failOtherWrites(() -> FakePlatform.Fault.NONE));
    }

    private FakePlatform.Fault randomFault() {
        FakePlatform.Fault[] faults = FakePlatform.Fault.values();
        return random.nextDouble() < 0.4
                ? faults[random.nextInt(faults.length)]
                : FakePlatform.Fault.NONE;
    }

    private void restart(FakeServers.Server server) {
        run.note("restart_" + server.name());
        server.crash();
    }

    private void stopServer(FakeServers.Server server, long lasts) {
        run.note("stop_" + server.name());
        server.setDown(true);
        end(lasts, () -> server.setDown(false));
    }

    private void leave(FakeServers.Server server, long lasts) {
        run.note("leave_" + server.name());
        server.setLeaving(true);
        end(lasts, () -> server.setLeaving(false));
    }

    private void slow(FakeServers.Server server, long lasts) {
        run.note("slow_" + server.name());
        server.setSlowness(5);
        end(lasts, () -> server.setSlowness(1));
    }

    private void takeOut(String availabilityZone, long lasts) {
        if (!out.add(availabilityZone)) {
            return;
        }
        run.changeAvailabilityZone(
                availabilityZone,
                ServiceState.OUT,
                () -> {
                    run.note("out_" + availabilityZone);
                    watchOut(availabilityZone, lasts);
                });
    }

    private void watchOut(String availabilityZone, long lasts) {
        long outAt = run.deployment().time.monotonicMilliseconds();
        long limit = run.noNewWorkAfterMilliseconds();
        end(
                Math.max(lasts, limit + 1_000),
                () -> {
                    for (String name : run.deployment().serversOf(availabilityZone)) {
                        long last = run.deployment().servers.server(name).lastNewWorkAt();
                        if (last > outAt + limit) {
                            violations.add(
                                    name + " got work at " + last + " although out since " + outAt);
                        }
                    }
                    bringBack(availabilityZone);
                });
    }

    private void bringBack(String availabilityZone) {
        run.changeAvailabilityZone(
                availabilityZone, ServiceState.IN, () -> run.note("in_" + availabilityZone));
        out.remove(availabilityZone);
    }

    private record Disturbance(String host, long from, long to) {}
}
