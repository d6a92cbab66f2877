package org.siskinramp.relay;

import java.util.List;
import java.util.Optional;
import org.siskinramp.quota.HostCount;

/** Provides the roles of other hosts in the relay of updates. */
public interface RelayTopology {

    /**
     * Returns the other hosts that read the platform's tables for their subscribers.
     *
     * @return their names
     */
    List<String> readers();

    /**
     * Returns the hosts that subscribe to the updates of this one.
     *
     * @return their names
     */
    List<String> subscribers();

    /**
     * Tells whether this host is a reader.
     *
     * @return true if the hosts table makes it a reader
     */
    boolean isReader();

    /**
     * Tells whether this host accepts updates from another one.
     *
     * @param host the name of the other host
     * @return true if this host subscribed to it, or has not read the hosts table yet
     */
    boolean acceptsUpdatesFrom(String host);

    /**
     * Returns the reader that this host follows.
     *
     * @return the name of a reader, which is this host if it is a reader; empty if this host
     *     follows none
     */
    Optional<String> source();

    /**
     * Returns how many hosts there are, and how certain that is.
     *
     * @return the count of this host
     */
    HostCount hostCount();
}
