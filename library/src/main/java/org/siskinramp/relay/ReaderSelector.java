package org.siskinramp.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the reader to which this host subscribes, and another one when the reader stops sending
 * updates. Not thread-safe; guarded by the lock of its owner.
 */
final class ReaderSelector {

    /**
     * A reader sends updates about twice a second; without any for this long it has crashed, is
     * unreachable or overloaded.
     */
    private static final long SOURCE_TIMEOUT_MILLISECONDS = 2_500;

    /** A reader that stopped sending updates is not chosen again for this long. */
    private static final long EXCLUSION_MILLISECONDS = 10_000;

    private final Map<String, Long> excludedUntil = new HashMap<>();
    private String source = "";
    private long lastUpdateAt;

    /** Returns the reader to subscribe to, given the candidates in order of preference. */
    Optional<String> next(List<HostEntry> readers, long now) {
        boolean isCandidate = readers.stream().anyMatch(reader -> reader.name().equals(source));
        if (isCandidate && now - lastUpdateAt <= SOURCE_TIMEOUT_MILLISECONDS) {
            return Optional.of(source);
        }
        if (isCandidate) {
            excludedUntil.put(source, now + EXCLUSION_MILLISECONDS);
        }
        source = "";
        for (HostEntry reader : readers) {
            if (now >= excludedUntil.getOrDefault(reader.name(), now)) {
                source = reader.name();
                lastUpdateAt = now;
                return Optional.of(source);
            }
        }
        return Optional.empty();
    }

    boolean isSource(String host) {
        return source.equals(host);
    }

    void recordUpdate(long now) {
        lastUpdateAt = now;
    }
}
