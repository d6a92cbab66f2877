package org.siskinramp.peer;

import java.util.List;
import org.siskinramp.quarantine.QuarantinedContent;

/**
 * Tells which requests its sender refuses since they end backend servers.
 *
 * @param whole true if these are all, false if others were told before
 * @param contents the requests
 */
public record QuarantineNews(boolean whole, List<QuarantinedContent> contents)
        implements PeerMessage {

    /**
     * Copies the list so that the message cannot change.
     *
     * @param whole whether these are all
     * @param contents the requests
     */
    public QuarantineNews {
        contents = List.copyOf(contents);
    }
}
