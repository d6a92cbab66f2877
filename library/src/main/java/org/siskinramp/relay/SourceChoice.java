package org.siskinramp.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the reader that this host asks, and another one once it stays silent. It is guarded by
 * the lock of its owner.
 */
final class SourceChoice {

    /** A reader tells about twice a second; longer than this it is dead, cut off or overloaded. */
    private static final long SILENCE_MILLISECONDS = 2_500;

    /** A reader that was silent is tried again after this. */
    private static final long PASSED_OVER_MILLISECONDS = 10_000;

    private final Map<String, Long> passedOverUntil = new HashMap<>();
    private String source = "";
    private long heardAt;

    /** Returns the reader to ask now, among those that may be asked, best first. */
    Optional<String> next(List<HostEntry> readers, long now) {
        boolean known = readers.stream().anyMatch(reader -> reader.name().equals(source));
        if (known && now - heardAt <= SILENCE_MILLISECONDS) {
            return Optional.of(source);
        }
        if (known) {
            passedOverUntil.put(source, now + PASSED_OVER_MILLISECONDS);
        }
        source = "";
        for (HostEntry reader : readers) {
            if (now >= passedOverUntil.getOrDefault(reader.name(), now)) {
                source = reader.name();
                heardAt = now;
                return Optional.of(source);
            }
        }
        return Optional.empty();
    }

    boolean isSource(String host) {
        return source.equals(host);
    }

    void heard(long now) {
        heardAt = now;
    }
}
