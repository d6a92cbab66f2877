package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.siskinramp.peer.FeedAsk;

/**
 * Holds the subscribers of this host with the versions that were sent to each. Not thread-safe;
 * guarded by the lock of its owner.
 */
final class Subscribers {

    /** Requests are renewed every second, so a subscription survives two lost ones. */
    private static final long SUBSCRIPTION_TERM_MILLISECONDS = 3_500;

    private static final long NO_VERSION = -1;

    private final Map<String, Subscriber> byHost = new LinkedHashMap<>();

    /** Records a subscription request; returns true if the host needs an update at once. */
    boolean subscribe(String host, FeedAsk request, long now) {
        Subscriber subscriber = byHost.get(host);
        boolean needsUpdate =
                subscriber == null || subscriber.sentServersVersion != request.serversVersion();
        boolean hasNoState = subscriber == null || request.serversVersion() == NO_VERSION;
        long operatorVersion = hasNoState ? NO_VERSION : subscriber.sentOperatorVersion;
        byHost.put(
                host,
                new Subscriber(request.address(), now, request.serversVersion(), operatorVersion));
        return needsUpdate;
    }

    void recordSentVersions(String host, long version, long operatorVersion) {
        byHost.computeIfPresent(
                host,
                (name, subscriber) ->
                        new Subscriber(
                                subscriber.address,
                                subscriber.renewedAt,
                                version,
                                operatorVersion));
    }

    long sentServersVersion(String host) {
        Subscriber subscriber = byHost.get(host);
        return subscriber == null ? NO_VERSION : subscriber.sentServersVersion;
    }

    long sentOperatorVersion(String host) {
        Subscriber subscriber = byHost.get(host);
        return subscriber == null ? NO_VERSION : subscriber.sentOperatorVersion;
    }

    void removeExpired(long now) {
        byHost.values()
                .removeIf(
                        subscriber -> now - subscriber.renewedAt > SUBSCRIPTION_TERM_MILLISECONDS);
    }

    boolean isEmpty() {
        return byHost.isEmpty();
    }

    List<String> hosts() {
        return new ArrayList<>(byHost.keySet());
    }

    Optional<String> addressOf(String host) {
        return Optional.ofNullable(byHost.get(host)).map(Subscriber::address);
    }

    private record Subscriber(
            String address, long renewedAt, long sentServersVersion, long sentOperatorVersion) {}
}
