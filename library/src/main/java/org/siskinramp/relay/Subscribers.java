package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.siskinramp.peer.FeedAsk;

/** Keeps the hosts that ask to be told, and what each was told. Guarded by its owner's lock. */
final class Subscribers {

    /** Two asks may be lost before a host is told no more. */
    private static final long ASKED_MILLISECONDS = 3_500;

    private static final long NOTHING = -1;

    private final Map<String, Subscriber> byHost = new LinkedHashMap<>();

    /** Notes an ask; returns true if the host is to be told at once. */
    boolean ask(String host, FeedAsk ask, long now) {
        Subscriber known = byHost.get(host);
        boolean news = known == null || known.toldVersion != ask.version();
        boolean knowsNothing = known == null || ask.version() == NOTHING;
        long operatorVersion = knowsNothing ? NOTHING : known.toldOperatorVersion;
        byHost.put(host, new Subscriber(ask.address(), now, ask.version(), operatorVersion));
        return news;
    }

    void told(String host, long version, long operatorVersion) {
        byHost.computeIfPresent(
                host,
                (name, known) ->
                        new Subscriber(known.address, known.askedAt, version, operatorVersion));
    }

    long toldVersion(String host) {
        Subscriber known = byHost.get(host);
        return known == null ? NOTHING : known.toldVersion;
    }

    long toldOperatorVersion(String host) {
        Subscriber known = byHost.get(host);
        return known == null ? NOTHING : known.toldOperatorVersion;
    }

    void dropSilent(long now) {
        byHost.values().removeIf(subscriber -> now - subscriber.askedAt > ASKED_MILLISECONDS);
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
            String address, long askedAt, long toldVersion, long toldOperatorVersion) {}
}
