package org.siskinramp.log;

/** Receives the events that the decisions report, one log line each. */
@FunctionalInterface
public interface EventLog {

    /**
     * Writes one event.
     *
     * @param event the event
     */
    void record(LogEvent event);
}
