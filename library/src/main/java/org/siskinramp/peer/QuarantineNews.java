package org.siskinramp.peer;

import java.util.List;
import org.siskinramp.quarantine.QuarantinedContent;

/**
 * Announces the quarantined requests: those that its sender refuses because they crash backend
 * servers.
 *
 * @param isSnapshot true if these are all quarantined requests, false if they are added to those of
 *     earlier messages
 * @param contents the quarantined requests
 */
public record QuarantineNews(boolean isSnapshot, List<QuarantinedContent> contents)
        implements PeerMessage {

    /**
     * Copies the list so that the message cannot change.
     *
     * @param isSnapshot whether these are all quarantined requests
     * @param contents the quarantined requests
     */
    public QuarantineNews {
        contents = List.copyOf(contents);
    }
}
