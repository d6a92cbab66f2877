package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks the source of this host and the hosts to which it sent subscription requests. The source
 * is a host that sent a fresh update. While there is none, candidates are tried in turn, and the
 * first with a fresh update becomes the source. Not thread-safe; guarded by the lock of its owner.
 */
final class SourceTracker {

    /** For how long updates are accepted after a request; other hosts are tried first meanwhile. */
    private static final long REQUEST_VALIDITY_MILLISECONDS = 10_000;

    /** The minimum interval between requests to a host that sent no fresh update. */
    private static final long REQUEST_INTERVAL_MILLISECONDS = 1_000;

    private final Map<String, Long> requestedAt = new HashMap<>();
    private Optional<String> source = Optional.empty();
    private long freshUntil;

    /** Returns the source, if its last update is still fresh. */
    Optional<String> current(long now) {
        if (now > freshUntil) {
            source = Optional.empty();
        }
        return source;
    }

    /** Drops the source and all requests, since this host reads the store itself. */
    void clear() {
        source = Optional.empty();
        requestedAt.clear();
    }

    /**
     * Chooses the hosts to send requests to: the first candidates without a recent request, or else
     * the one with the oldest request.
     */
    List<String> chooseHosts(Collection<String> candidates, int count, long now) {
        requestedAt
                .values()
                .removeIf(milliseconds -> now - milliseconds >= REQUEST_VALIDITY_MILLISECONDS);
        List<String> chosen = new ArrayList<>();
        for (String candidate : candidates) {
            if (chosen.size() < count && !requestedAt.containsKey(candidate)) {
                chosen.add(candidate);
            }
        }
        if (chosen.isEmpty()) {
            candidates.stream()
                    .min(Comparator.comparing(requestedAt::get))
                    .filter(
                            oldest ->
                                    now - requestedAt.get(oldest) >= REQUEST_INTERVAL_MILLISECONDS)
                    .ifPresent(chosen::add);
        }
        chosen.forEach(host -> requestedAt.put(host, now));
        return chosen;
    }

    /** Tells whether a host is the source or a request was recently sent to it. */
    boolean hasSubscribedTo(String host) {
        return requestedAt.containsKey(host) || source.filter(host::equals).isPresent();
    }

    /**
     * Records until when the update of a host is fresh; ignored without a request to the host. The
     * host becomes the source if there is none, or if it is a reader and the source is not.
     */
    void recordUpdate(
            String host, long freshUntilMilliseconds, Collection<String> readers, long now) {
        if (freshUntilMilliseconds <= now || !hasSubscribedTo(host)) {
            return;
        }
        Optional<String> current = current(now);
        boolean replacesSource =
                current.isEmpty() || (readers.contains(host) && !readers.contains(current.get()));
        if (replacesSource) {
            source = Optional.of(host);
            freshUntil = freshUntilMilliseconds;
        } else if (current.get().equals(host)) {
            freshUntil = Math.max(freshUntil, freshUntilMilliseconds);
        }
    }
}
