package org.siskinramp.log;

/** Receives log events, each of which is written as one line. */
@FunctionalInterface
public interface EventLog {

    /**
     * Records an event.
     *
     * @param event the event
     */
    void record(LogEvent event);
}
