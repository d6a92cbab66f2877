package org.siskinramp.gateway;

import java.util.function.Consumer;
import org.siskinramp.routing.DeferredActions;

/** Runs commands under the lock of the gateway, and their deferred actions after it is released. */
@FunctionalInterface
interface LockedExecutor {

    /**
     * Runs a command.
     *
     * @param command the command, which adds the actions to run after the lock is released
     */
    void run(Consumer<DeferredActions> command);
}
