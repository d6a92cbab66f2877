package org.siskinramp.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import org.siskinramp.configuration.Configuration;

/**
 * Holds the configuration that this host acts on, and the version that other hosts must have
 * applied by now.
 */
final class ConfigurationHistory {

    private final MembershipOptions options;
    private final Deque<Applied> withinGracePeriod = new ArrayDeque<>();
    private Configuration configuration = Configuration.empty();
    private long requiredVersion;

    ConfigurationHistory(MembershipOptions options) {
        this.options = options;
    }

    void apply(Configuration newer, long now) {
        configuration = newer;
        withinGracePeriod.addLast(new Applied(newer.version(), now));
    }

    /** Returns the lowest version with which a host is still acknowledged. */
    long requiredVersion(long now) {
        while (!withinGracePeriod.isEmpty()
                && now
                        >= withinGracePeriod.getFirst().appliedAt()
                                + options.configurationGraceMilliseconds()) {
            requiredVersion = withinGracePeriod.removeFirst().version();
        }
        return requiredVersion;
    }

    Configuration configuration() {
        return configuration;
    }

    private record Applied(long version, long appliedAt) {}
}
