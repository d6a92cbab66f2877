package org.siskinramp.daemon;

import java.io.IOException;
import org.siskinramp.daemon.administration.AdministrationServer;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;

/** Starts and stops the parts of an entry host in order. */
final class EntryHost {

    private final AdministrationServer administration;
    private final EventLog eventLog;

    EntryHost(AdministrationServer administration, EventLog eventLog) {
        this.administration = administration;
        this.eventLog = eventLog;
    }

    void start() throws IOException {
        administration.start();
        eventLog.record(
                LogEvent.named("started").with("administration_address", administration.address()));
    }

    /**
     * Stops all parts.
     *
     * @return true if all of them stopped in order
     */
    boolean stop() {
        eventLog.record(LogEvent.named("stopping"));
        try {
            administration.stop();
            eventLog.record(LogEvent.named("stopped"));
            return true;
        } catch (IOException failure) {
            eventLog.record(LogEvent.named("stop_failed").with("cause", failure));
            return false;
        }
    }
}
