package org.siskinramp.fleet;

/** Decides which backend servers may get requests apart from their own state. */
@FunctionalInterface
public interface ServerGate {

    /** Lets all servers get requests. */
    ServerGate OPEN = entry -> true;

    /**
     * Tells whether a server may get requests. Called for each search with a lock held.
     *
     * @param entry the entry of the server
     * @return false if no request may be sent to it now
     */
    boolean mayServe(ServerEntry entry);
}
