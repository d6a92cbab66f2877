package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps which host tells this one what the store holds, and which hosts were asked to. The source
 * is a host that told something fresh. While there is none, others are asked in turn, and the first
 * of them with fresh news becomes the source. It is guarded by the lock of its owner.
 */
final class Sources {

    /** For how long a host that was asked is listened to, and others are asked before it. */
    private static final long ASKED_MILLISECONDS = 10_000;

    /** The least time between two asks of a host that told nothing fresh. */
    private static final long REPEAT_MILLISECONDS = 1_000;

    private final Map<String, Long> askedAt = new HashMap<>();
    private Optional<String> source = Optional.empty();
    private long freshUntil;

    /** Returns the host that told something that is still fresh. */
    Optional<String> current(long now) {
        if (now > freshUntil) {
            source = Optional.empty();
        }
        return source;
    }

    /** Stops to listen to any host, since this one reads the store itself. */
    void leave() {
        source = Optional.empty();
        askedAt.clear();
    }

    /**
     * Chooses which hosts to ask: the first that were not asked lately, else the one that was asked
     * longest ago.
     */
    List<String> next(Collection<String> candidates, int count, long now) {
        askedAt.values().removeIf(milliseconds -> now - milliseconds >= ASKED_MILLISECONDS);
        List<String> chosen = new ArrayList<>();
        for (String candidate : candidates) {
            if (chosen.size() < count && !askedAt.containsKey(candidate)) {
                chosen.add(candidate);
            }
        }
        if (chosen.isEmpty()) {
            candidates.stream()
                    .min(Comparator.comparing(askedAt::get))
                    .filter(oldest -> now - askedAt.get(oldest) >= REPEAT_MILLISECONDS)
                    .ifPresent(chosen::add);
        }
        chosen.forEach(host -> askedAt.put(host, now));
        return chosen;
    }

    /** Tells whether a host was asked not long ago. */
    boolean wasAsked(String host) {
        return askedAt.containsKey(host) || source.filter(host::equals).isPresent();
    }

    /**
     * Notes how long the news of a host that was asked is fresh. It becomes the source if there is
     * none, or if it reads the store for others and the source does not.
     */
    void heard(String host, long freshUntilMilliseconds, Collection<String> readers, long now) {
        if (freshUntilMilliseconds <= now || !wasAsked(host)) {
            return;
        }
        Optional<String> current = current(now);
        boolean better =
                current.isEmpty() || (readers.contains(host) && !readers.contains(current.get()));
        if (better) {
            source = Optional.of(host);
            freshUntil = freshUntilMilliseconds;
        } else if (current.get().equals(host)) {
            freshUntil = Math.max(freshUntil, freshUntilMilliseconds);
        }
    }
}
