package org.siskinramp.standin.measurement;

/** Disturbs the processes under load during a run, for example by a fault. */
@FunctionalInterface
interface Disturbance {

    /**
     * Schedules the actions of the disturbance.
     *
     * @param context the processes under load and the scheduler
     */
    void schedule(DisturbanceContext context);
}
