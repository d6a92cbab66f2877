package org.siskinramp.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;

/** Collects actions that must run after a lock is released. */
public final class DeferredActions {

    private final List<Runnable> actions = new ArrayList<>();

    /**
     * Adds an action.
     *
     * @param action the action to run after the lock is released
     */
    public void add(Runnable action) {
        actions.add(action);
    }

    /**
     * Runs a command under a lock, then releases the lock and runs the actions that the command
     * added.
     *
     * @param lock the lock
     * @param command the command to run under the lock
     */
    public static void runLocked(Lock lock, Consumer<DeferredActions> command) {
        DeferredActions deferred = new DeferredActions();
        lock.lock();
        try {
            command.accept(deferred);
        } finally {
            lock.unlock();
        }
        deferred.actions.forEach(Runnable::run);
    }
}
