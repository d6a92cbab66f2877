package org.siskinramp.relay;

import java.util.List;

/** Tells which other hosts this one talks with. */
public interface Neighbours {

    /**
     * Lists the other hosts that read the platform's tables for all.
     *
     * @return their names
     */
    List<String> readers();

    /**
     * Lists the hosts that ask this one to be told.
     *
     * @return their names
     */
    List<String> subscribers();

    /**
     * Tells whether this host reads for others.
     *
     * @return true if all hosts take it for a reader
     */
    boolean isReader();

    /**
     * Tells whether this host believes what another one tells.
     *
     * @param host the other host's name
     * @return true if this host asked it
     */
    boolean listensTo(String host);
}
