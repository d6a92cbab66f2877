package org.siskinramp.standin.measurement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.time.Scheduler;

/** Lets a disturbance reach the processes under load, at moments of the run. */
final class Stage {

    private final RunSettings settings;
    private final ControlClient control;
    private final Scheduler scheduler;
    private final EventLog output;
    private final Random random;

    Stage(RunSettings settings, ControlClient control, Scheduler scheduler, EventLog output) {
        this.settings = settings;
        this.control = control;
        this.scheduler = scheduler;
        this.output = output;
        random = new Random(settings.seed());
    }

    void describe(String disturbance) {
        output.record(LogEvent.named("measure_disturbance").with("description", disturbance));
    }

    void at(long milliseconds, Runnable action) {
        scheduler.schedule(milliseconds, action);
    }

    long milliseconds() {
        return settings.milliseconds();
    }

    long outageMilliseconds() {
        return Math.min(settings.outageMilliseconds(), settings.milliseconds() / 2);
    }

    ControlClient control() {
        return control;
    }

    List<String> servers() {
        return settings.processes().servers();
    }

    List<String> drawServers(int count) {
        List<String> drawn = new ArrayList<>(servers());
        Collections.shuffle(drawn, random);
        return List.copyOf(drawn.subList(0, count));
    }

    String administration() {
        return settings.processes().administrations().get(0);
    }

    String platform() {
        return settings.processes().platform();
    }

    String availabilityZone() {
        return settings.deployment().availabilityZones().get(1);
    }

    void killLastHost() {
        List<Long> identifiers = settings.processes().entryHostIds();
        ProcessHandle.of(identifiers.get(identifiers.size() - 1))
                .ifPresent(ProcessHandle::destroyForcibly);
    }
}
