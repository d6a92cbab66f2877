package org.siskinramp.standin.measurement;

/** Disturbs the processes under load while a run goes on. */
@FunctionalInterface
interface Disturbance {

    /**
     * Schedules what is to happen during the run.
     *
     * @param stage the processes, and the time of the run
     */
    void begin(Stage stage);
}
