package org.siskinramp.peer;

import java.util.List;
import org.siskinramp.fleet.ServerEntry;

/**
 * Tells what its sender read of the platform's tables. Ages are counted to the moment of sending.
 *
 * @param sinceVersion the version after which the changes of the backend servers are told
 * @param version the version up to which they are told
 * @param whole true if the servers are all there are
 * @param part the place of this message in the list, from 0
 * @param more true if another message with the same versions goes on with the list
 * @param servers entries that are new or changed
 * @param gone names of servers whose entries went
 * @param ageMilliseconds how long ago the servers were read
 * @param sinceGapMilliseconds how long ago a time ended in which no host that the sender knows of
 *     read the servers, long enough for entries to lapse
 * @param operatorVersion the version of the last change by an operator
 * @param operatorAgeMilliseconds how long ago the operator's table was read
 * @param hosts how many hosts the sender counts, 0 if it does not know yet
 * @param hops over how many hosts it came to the sender, 0 if that one read the store
 */
public record FeedNews(
        long sinceVersion,
        long version,
        boolean whole,
        int part,
        boolean more,
        List<ServerEntry> servers,
        List<String> gone,
        long ageMilliseconds,
        long sinceGapMilliseconds,
        long operatorVersion,
        long operatorAgeMilliseconds,
        int hosts,
        int hops)
        implements PeerMessage {

    /**
     * Copies the lists so that the message cannot change.
     *
     * @param sinceVersion the version after which changes are told
     * @param version the version up to which they are told
     * @param whole whether the servers are all there are
     * @param part the place of this message in the list
     * @param more whether another message goes on with the list
     * @param servers the entries
     * @param gone the names of servers that went
     * @param ageMilliseconds the age of the servers
     * @param sinceGapMilliseconds how long ago a time without reads ended
     * @param operatorVersion the version of the last change by an operator
     * @param operatorAgeMilliseconds the age of the operator's table
     * @param hosts the number of hosts
     * @param hops over how many hosts it came
     */
    public FeedNews {
        servers = List.copyOf(servers);
        gone = List.copyOf(gone);
    }
}
