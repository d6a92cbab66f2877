package org.siskinramp.route;

import java.util.List;
import java.util.Objects;

/**
 * Maps the requests of one host and path prefix to services.
 *
 * <pre>{@code
 * Route route = Route.builder().name("orders").host("crew.example").prefix("/orders/")
 *         .idempotent(false).timeLimitMilliseconds(1000)
 *         .latencyObjectiveMilliseconds(400)
 *         .shares(List.of(new ServiceShare("dispatch", 1))).build();
 * }</pre>
 */
public final class Route {

    private final String name;
    private final String host;
    private final String prefix;
    private final boolean idempotent;
    private final boolean openToAll;
    private final long timeLimitMilliseconds;
    private final long latencyObjectiveMilliseconds;
    private final int rank;
    private final int attemptLimit;
    private final List<ServiceShare> shares;

    private Route(Builder builder) {
        name = Objects.requireNonNull(builder.name, "name");
        host = Objects.requireNonNull(builder.host, "host");
        prefix = Objects.requireNonNull(builder.prefix, "prefix");
        idempotent = builder.idempotent;
        openToAll = builder.openToAll;
        timeLimitMilliseconds = builder.timeLimitMilliseconds;
        latencyObjectiveMilliseconds = builder.latencyObjectiveMilliseconds;
        rank = builder.rank;
        attemptLimit = builder.attemptLimit;
        shares = List.copyOf(builder.shares);
    }

    /**
     * Returns a builder of a route.
     *
     * @return an empty builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the unique name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the host of the requests that the route matches.
     *
     * @return the host name without a port
     */
    public String host() {
        return host;
    }

    /**
     * Returns the path prefix of the requests that the route matches.
     *
     * @return the prefix, which begins and ends with a slash
     */
    public String prefix() {
        return prefix;
    }

    /**
     * Tells whether the requests are idempotent and may run more than once.
     *
     * @return true for idempotent requests
     */
    public boolean isIdempotent() {
        return idempotent;
    }

    /**
     * Tells whether requests need no key of a workspace.
     *
     * @return true for a public route
     */
    public boolean isPublic() {
        return openToAll;
    }

    /**
     * Returns the time limit of a request, after which the caller gets an error.
     *
     * @return milliseconds
     */
    public long timeLimitMilliseconds() {
        return timeLimitMilliseconds;
    }

    /**
     * Returns the latency objective: requests should be answered within this time.
     *
     * @return milliseconds
     */
    public long latencyObjectiveMilliseconds() {
        return latencyObjectiveMilliseconds;
    }

    /**
     * Returns the rank of the route, by which waiting requests are ordered.
     *
     * @return the rank, 0 is the most urgent
     */
    public int rank() {
        return rank;
    }

    /**
     * Returns to how many backend servers one request may be sent.
     *
     * @return the number of servers, one or more
     */
    public int attemptLimit() {
        return attemptLimit;
    }

    /**
     * Returns the services among which the requests are distributed, with their weights.
     *
     * @return one or more services
     */
    public List<ServiceShare> shares() {
        return shares;
    }

    /** Builds a route. */
    public static final class Builder {

        private String name;
        private String host;
        private String prefix;
        private boolean idempotent;
        private boolean openToAll;
        private long timeLimitMilliseconds;
        private long latencyObjectiveMilliseconds;
        private int rank;
        private int attemptLimit = 1;
        private List<ServiceShare> shares = List.of();

        private Builder() {}

        /**
         * Sets the name.
         *
         * @param value the unique name
         * @return this builder
         */
        public Builder name(String value) {
            name = value;
            return this;
        }

        /**
         * Sets the host.
         *
         * @param value the host name without a port
         * @return this builder
         */
        public Builder host(String value) {
            host = value;
            return this;
        }

        /**
         * Sets the path prefix.
         *
         * @param value the prefix, which begins and ends with a slash
         * @return this builder
         */
        public Builder prefix(String value) {
            prefix = value;
            return this;
        }

        /**
         * Sets whether the requests are idempotent and may run more than once.
         *
         * @param value true for idempotent requests
         * @return this builder
         */
        public Builder idempotent(boolean value) {
            idempotent = value;
            return this;
        }

        /**
         * Sets whether requests need no key of a workspace.
         *
         * @param value true for a public route
         * @return this builder
         */
        public Builder openToAll(boolean value) {
            openToAll = value;
            return this;
        }

        /**
         * Sets the time limit of a request, after which the caller gets an error.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder timeLimitMilliseconds(long value) {
            timeLimitMilliseconds = value;
            return this;
        }

        /**
         * Sets the latency objective.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder latencyObjectiveMilliseconds(long value) {
            latencyObjectiveMilliseconds = value;
            return this;
        }

        /**
         * Sets the rank.
         *
         * @param value the rank, 0 is the most urgent
         * @return this builder
         */
        public Builder rank(int value) {
            rank = value;
            return this;
        }

        /**
         * Sets to how many backend servers one request may be sent.
         *
         * @param value one or more
         * @return this builder
         */
        public Builder attemptLimit(int value) {
            attemptLimit = value;
            return this;
        }

        /**
         * Sets the services among which the requests are distributed.
         *
         * @param value one or more services
         * @return this builder
         */
        public Builder shares(List<ServiceShare> value) {
            shares = value;
            return this;
        }

        /**
         * Builds the route.
         *
         * @return the route
         */
        public Route build() {
            return new Route(this);
        }
    }
}
