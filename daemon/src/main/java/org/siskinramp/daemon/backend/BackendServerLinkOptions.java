package org.siskinramp.daemon.backend;

import java.util.Objects;
import org.siskinramp.daemon.exchange.ExchangeOptions;

/** Holds the limits of a {@link JettyBackendServerLink}. */
public final class BackendServerLinkOptions {

    private final String hostName;
    private final String incarnation;
    private final long probeTimeoutMilliseconds;
    private final long idempotentIdleLimitMilliseconds;
    private final long nonIdempotentIdleLimitMilliseconds;
    private final ExchangeOptions exchange;

    private BackendServerLinkOptions(Builder builder) {
        hostName = Objects.requireNonNull(builder.hostName, "hostName");
        incarnation = Objects.requireNonNull(builder.incarnation, "incarnation");
        probeTimeoutMilliseconds = builder.probeTimeoutMilliseconds;
        idempotentIdleLimitMilliseconds = builder.idempotentIdleLimitMilliseconds;
        nonIdempotentIdleLimitMilliseconds = builder.nonIdempotentIdleLimitMilliseconds;
        exchange = Objects.requireNonNull(builder.exchange, "exchange");
    }

    /**
     * Returns a builder with the default limits.
     *
     * @return a builder, which needs the host name and the incarnation
     */
    public static Builder builder() {
        return new Builder();
    }

    String attemptName(long number) {
        return hostName + "/" + incarnation + "/" + number;
    }

    long probeTimeoutMilliseconds() {
        return probeTimeoutMilliseconds;
    }

    long idleLimitMilliseconds(boolean idempotent) {
        return idempotent ? idempotentIdleLimitMilliseconds : nonIdempotentIdleLimitMilliseconds;
    }

    ExchangeOptions exchange() {
        return exchange;
    }

    /** Builds {@link BackendServerLinkOptions}. */
    public static final class Builder {

        private String hostName;
        private String incarnation;
        private long probeTimeoutMilliseconds = 250;
        private long idempotentIdleLimitMilliseconds = 5000;
        private long nonIdempotentIdleLimitMilliseconds = 2000;
        private ExchangeOptions exchange = ExchangeOptions.builder().build();

        private Builder() {}

        /**
         * Sets the name of this entry host.
         *
         * @param value the name
         * @return this builder
         */
        public Builder hostName(String value) {
            hostName = value;
            return this;
        }

        /**
         * Sets the identifier of this process of the entry host, which differs after a restart.
         *
         * @param value the incarnation
         * @return this builder
         */
        public Builder incarnation(String value) {
            incarnation = value;
            return this;
        }

        /**
         * Sets the timeout of a probe.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder probeTimeoutMilliseconds(long value) {
            probeTimeoutMilliseconds = value;
            return this;
        }

        /**
         * Sets the maximum idle time of a connection that is reused for an idempotent request.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder idempotentIdleLimitMilliseconds(long value) {
            idempotentIdleLimitMilliseconds = value;
            return this;
        }

        /**
         * Sets the maximum idle time of a connection that is reused for a non-idempotent request.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder nonIdempotentIdleLimitMilliseconds(long value) {
            nonIdempotentIdleLimitMilliseconds = value;
            return this;
        }

        /**
         * Sets the limits of each HTTP exchange.
         *
         * @param value the limits
         * @return this builder
         */
        public Builder exchange(ExchangeOptions value) {
            exchange = value;
            return this;
        }

        /**
         * Builds the options.
         *
         * @return the options
         */
        public BackendServerLinkOptions build() {
            return new BackendServerLinkOptions(this);
        }
    }
}
