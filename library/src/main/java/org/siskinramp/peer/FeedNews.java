package org.siskinramp.peer;

import java.util.List;
import org.siskinramp.fleet.ServerEntry;

/**
 * Sends a snapshot or a delta of the servers table to a subscriber. Ages count up to the moment of
 * sending.
 *
 * @param baseVersion the version of the servers table on which a delta builds
 * @param serversVersion the version of the servers table after this update
 * @param isSnapshot true if the update holds all backend servers, false for a delta
 * @param part the index of this message among the parts of the update, from 0
 * @param hasMoreParts true if another message continues the update
 * @param servers the entries of backend servers; in a delta, those that are new or changed
 * @param removedServers names of servers whose entries were removed
 * @param serversAgeMilliseconds the age of the read of the servers table, in milliseconds
 * @param timeSinceReadGapMilliseconds the time since the end of the last interval in which no host
 *     known to the sender read the servers table, and which was long enough for entries to expire,
 *     in milliseconds
 * @param operatorVersion the version of the last change by an operator
 * @param operatorAgeMilliseconds the age of the read of the operator table, in milliseconds
 * @param hostCount the number of hosts as counted by the sender, 0 if it does not know yet
 * @param hops the number of hosts that relayed the update to the sender, 0 if the sender read the
 *     store
 */
public record FeedNews(
        long baseVersion,
        long serversVersion,
        boolean isSnapshot,
        int part,
        boolean hasMoreParts,
        List<ServerEntry> servers,
        List<String> removedServers,
        long serversAgeMilliseconds,
        long timeSinceReadGapMilliseconds,
        long operatorVersion,
        long operatorAgeMilliseconds,
        int hostCount,
        int hops)
        implements PeerMessage {

    /**
     * Copies the lists so that the message cannot change.
     *
     * @param baseVersion the version on which a delta builds
     * @param serversVersion the version after this update
     * @param isSnapshot whether the update holds all backend servers
     * @param part the index of this message among the parts
     * @param hasMoreParts whether another message continues the update
     * @param servers the entries
     * @param removedServers the names of removed servers
     * @param serversAgeMilliseconds the age of the read of the servers table
     * @param timeSinceReadGapMilliseconds the time since the end of the last read gap
     * @param operatorVersion the version of the last change by an operator
     * @param operatorAgeMilliseconds the age of the read of the operator table
     * @param hostCount the number of hosts
     * @param hops the number of hosts that relayed the update
     */
    public FeedNews {
        servers = List.copyOf(servers);
        removedServers = List.copyOf(removedServers);
    }
}
