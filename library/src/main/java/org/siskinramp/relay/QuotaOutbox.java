package org.siskinramp.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.peer.QuotaAsk;
import org.siskinramp.peer.QuotaGrant;
import org.siskinramp.peer.QuotaNeed;
import org.siskinramp.peer.QuotaStamp;
import org.siskinramp.peer.QuotaSurplus;
import org.siskinramp.peer.QuotaTokens;
import org.siskinramp.quota.TransitBounds;

/**
 * Collects messages about quotas that are sent after a lock is released. Messages to this host,
 * which may be its own reader, are kept apart. Not thread-safe.
 */
final class QuotaOutbox {

    /** Bounds a message to about 12 kB; the rest follows in further messages. */
    private static final int MAXIMUM_WORKSPACES = 64;

    private final String self;
    private final TransitBounds bounds;
    private final List<Outgoing> remote = new ArrayList<>();
    private final Deque<PeerMessage> local = new ArrayDeque<>();

    QuotaOutbox(String self, TransitBounds bounds) {
        this.self = self;
        this.bounds = bounds;
    }

    void surplus(String host, boolean fromReader, List<QuotaTokens> tokens) {
        for (List<QuotaTokens> part : parts(tokens)) {
            add(host, new QuotaSurplus(stampFor(host), fromReader, part));
        }
    }

    void ask(String host, boolean fromReader, List<QuotaNeed> needs) {
        for (List<QuotaNeed> part : parts(needs)) {
            add(host, new QuotaAsk(stampFor(host), fromReader, part));
        }
    }

    void grant(String host, boolean toReader, List<QuotaTokens> tokens) {
        for (List<QuotaTokens> part : parts(tokens)) {
            add(host, new QuotaGrant(stampFor(host), toReader, part, List.of()));
        }
    }

    void announce(String host, boolean toReader, List<String> neededWorkspaces) {
        for (List<String> part : parts(neededWorkspaces)) {
            add(host, new QuotaGrant(stampFor(host), toReader, List.of(), part));
        }
    }

    /** An empty list makes one message, which answers another one. */
    private static <T> List<List<T>> parts(List<T> items) {
        return MultipartList.split(items, MAXIMUM_WORKSPACES);
    }

    private QuotaStamp stampFor(String host) {
        return bounds.stampFor(host);
    }

    private void add(String host, PeerMessage message) {
        if (host.equals(self)) {
            local.add(message);
        } else {
            remote.add(new Outgoing(host, message));
        }
    }

    /** Takes the next message to this host, null if there is none. */
    PeerMessage takeLocal() {
        return local.poll();
    }

    void sendTo(PeerSender peers) {
        remote.forEach(outgoing -> peers.send(outgoing.host, outgoing.message));
    }

    private record Outgoing(String host, PeerMessage message) {}
}
