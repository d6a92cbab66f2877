package org.siskinramp.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;

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

    /**
     * Runs a command under a lock, and the actions that it adds after the lock is released.
     *
     * @param lock the lock
     * @param command what to do under the lock
     */
    public static void runLocked(Lock lock, Consumer<Effects> command) {
        Effects effects = new Effects();
        lock.lock();
        try {
            command.accept(effects);
        } finally {
            lock.unlock();
        }
        effects.actions.forEach(Runnable::run);
    }
}
