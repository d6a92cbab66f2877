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
     * Adds an action that releases what the command has reserved for it, should it fail.
     *
     * @param action the action to run after the lock is released
     * @param onFailure runs after the action if that throws, without the lock held
     */
    public void add(Runnable action, Runnable onFailure) {
        actions.add(
                () -> {
                    try {
                        action.run();
                    } catch (RuntimeException | Error failure) {
                        onFailure.run();
                        throw failure;
                    }
                });
    }

    /**
     * Runs a command under a lock, then releases the lock and runs the actions that the command
     * added. All actions run, even if the command or one of them throws, since each may complete a
     * request or release a reservation.
     *
     * @param lock the lock
     * @param command the command to run under the lock
     * @throws RuntimeException the first exception of the command and the actions, with the others
     *     suppressed; it may also be an {@link Error}
     */
    public static void runLocked(Lock lock, Consumer<DeferredActions> command) {
        DeferredActions deferred = new DeferredActions();
        Failures failures = new Failures();
        lock.lock();
        try {
            failures.collectFrom(() -> command.accept(deferred));
        } finally {
            lock.unlock();
        }
        deferred.actions.forEach(failures::collectFrom);
        failures.throwIfAny();
    }

    /** Collects the exceptions of several tasks. */
    private static final class Failures {

        private Throwable first;

        private void collectFrom(Runnable task) {
            try {
                task.run();
            } catch (RuntimeException | Error failure) {
                if (first == null) {
                    first = failure;
                } else if (first != failure) {
                    first.addSuppressed(failure);
                }
            }
        }

        private void throwIfAny() {
            if (first instanceof Error error) {
                throw error;
            }
            if (first instanceof RuntimeException exception) {
                throw exception;
            }
        }
    }
}
