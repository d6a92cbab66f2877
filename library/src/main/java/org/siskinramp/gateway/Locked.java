package org.siskinramp.gateway;

import java.util.function.Consumer;
import org.siskinramp.routing.Effects;

/** Runs commands under the lock of the gateway, and their effects after its release. */
@FunctionalInterface
interface Locked {

    /**
     * Runs a command.
     *
     * @param command the command, which adds what has to happen outside
     */
    void run(Consumer<Effects> command);
}
