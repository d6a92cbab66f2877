package org.siskinramp.standin.measurement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.time.Scheduler;

/** Gives a disturbance access to the processes under load, and schedules its actions. */
final class DisturbanceContext {

    private final RunSettings settings;
    private final ControlClient control;
    private final Scheduler scheduler;
    private final EventLog output;
    private final Random random;

    DisturbanceContext(
            RunSettings settings, ControlClient control, Scheduler scheduler, EventLog output) {
        this.settings = settings;
        this.control = control;
        this.scheduler = scheduler;
        this.output = output;
        random = new Random(settings.seed());
    }

    void log(String disturbance) {
        output.record(LogEvent.named("measure_disturbance").with("description", disturbance));
    }

    void schedule(long delayMilliseconds, Runnable action) {
        scheduler.schedule(delayMilliseconds, action);
    }

    long loadMilliseconds() {
        return settings.loadMilliseconds();
    }

    long outageMilliseconds() {
        return Math.min(settings.outageMilliseconds(), settings.loadMilliseconds() / 2);
    }

    ControlClient control() {
        return control;
    }

    List<String> servers() {
        return settings.processes().servers();
    }

    List<String> chooseServers(int count) {
        List<String> shuffled = new ArrayList<>(servers());
        Collections.shuffle(shuffled, random);
        return List.copyOf(shuffled.subList(0, count));
    }

    String administration() {
        return settings.processes().administrationAddresses().get(0);
    }

    String platform() {
        return settings.processes().platform();
    }

    String availabilityZone() {
        return settings.deployment().availabilityZones().get(1);
    }

    void killLastHost() {
        List<Long> identifiers = settings.processes().entryHostProcessIds();
        ProcessHandle.of(identifiers.get(identifiers.size() - 1))
                .ifPresent(ProcessHandle::destroyForcibly);
    }
}
