package org.siskinramp.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import org.siskinramp.configuration.Configuration;

/** Holds the configuration that this host acts on, and which ones others must know by now. */
final class Configurations {

    private final MembershipOptions options;
    private final Deque<Applied> recent = new ArrayDeque<>();
    private Configuration configuration = Configuration.empty();
    private long requiredVersion;

    Configurations(MembershipOptions options) {
        this.options = options;
    }

    void apply(Configuration newer, long now) {
        configuration = newer;
        recent.addLast(new Applied(newer.version(), now));
    }

    /** Returns the lowest version that a host may act on and still be acknowledged. */
    long requiredVersion(long now) {
        while (!recent.isEmpty()
                && now >= recent.getFirst().at() + options.configurationGraceMilliseconds()) {
            requiredVersion = recent.removeFirst().version();
        }
        return requiredVersion;
    }

    Configuration configuration() {
        return configuration;
    }

    private record Applied(long version, long at) {}
}
