package org.siskinramp.routing;

import java.util.ArrayList;
import java.util.List;

/** Collects what has to happen after a lock is released. */
public final class Effects {

    private final List<Runnable> actions = new ArrayList<>();

    /**
     * Adds an action.
     *
     * @param action what to run after the lock is released
     */
    public void add(Runnable action) {
        actions.add(action);
    }

    /** Runs all actions in order. */
    public void run() {
        actions.forEach(Runnable::run);
    }
}
