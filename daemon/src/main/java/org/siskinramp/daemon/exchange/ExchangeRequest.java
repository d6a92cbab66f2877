package org.siskinramp.daemon.exchange;

import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.Predicate;
import org.siskinramp.request.Header;

/**
 * Describes one HTTP request to a server.
 *
 * <pre>{@code
 * ExchangeRequest probe = ExchangeRequest.to("127.0.0.1:8080").target("/-/load")
 *         .deadlineMilliseconds(now + 200).build();
 * }</pre>
 */
public final class ExchangeRequest {

    private final ServerAddress address;
    private final String method;
    private final String target;
    private final LongFunction<List<Header>> headers;
    private final byte[] body;
    private final long deadlineMilliseconds;
    private final long idleLimitMilliseconds;
    private final BooleanSupplier permission;
    private final Function<ExchangeAnswer, AnswerAttribution> attribution;
    private final Predicate<ExchangeAnswer> reuseCheck;
    private final IdentityCheck identityCheck;
    private final boolean closeDelimitedAllowed;
    private final int answerLimitBytes;

    private ExchangeRequest(Builder builder) {
        address = builder.address;
        method = Objects.requireNonNull(builder.method, "method");
        target = Objects.requireNonNull(builder.target, "target");
        headers = Objects.requireNonNull(builder.headers, "headers");
        body = Objects.requireNonNull(builder.body, "body");
        deadlineMilliseconds = builder.deadlineMilliseconds;
        idleLimitMilliseconds = builder.idleLimitMilliseconds;
        permission = Objects.requireNonNull(builder.permission, "permission");
        attribution = Objects.requireNonNull(builder.attribution, "attribution");
        reuseCheck = Objects.requireNonNull(builder.reuseCheck, "reuseCheck");
        identityCheck = Objects.requireNonNull(builder.identityCheck, "identityCheck");
        closeDelimitedAllowed = builder.closeDelimitedAllowed;
        answerLimitBytes = builder.answerLimitBytes;
    }

    /**
     * Starts a {@code GET} request.
     *
     * @param address the server, as {@code ip:port}
     * @return a builder
     * @throws org.siskinramp.result.ResultException if the address is malformed
     */
    public static Builder to(String address) {
        return new Builder(ServerAddress.parse(address));
    }

    ServerAddress address() {
        return address;
    }

    String method() {
        return method;
    }

    String target() {
        return target;
    }

    List<Header> headers(long leftMilliseconds) {
        return headers.apply(leftMilliseconds);
    }

    byte[] body() {
        return body;
    }

    boolean hasBody() {
        return body.length > 0 || method.equals("POST") || method.equals("PUT");
    }

    long deadlineMilliseconds() {
        return deadlineMilliseconds;
    }

    long idleLimitMilliseconds() {
        return idleLimitMilliseconds;
    }

    boolean isPermitted() {
        return permission.getAsBoolean();
    }

    AnswerAttribution attribute(ExchangeAnswer answer) {
        return attribution.apply(answer);
    }

    boolean allowsReuseAfter(ExchangeAnswer answer) {
        return reuseCheck.test(answer);
    }

    IdentityCheck identityCheck() {
        return identityCheck;
    }

    int answerLimitBytes() {
        return answerLimitBytes;
    }

    boolean isCloseDelimitedAllowed() {
        return closeDelimitedAllowed;
    }

    /** Creates the request for the boot identity of the server, with the same deadline. */
    ExchangeRequest identityRequest() {
        return new Builder(address)
                .target(identityCheck.questionTarget())
                .deadlineMilliseconds(deadlineMilliseconds)
                .identityCheck(identityCheck.withoutExpectation())
                .build();
    }

    /** Collects the parts of a request. */
    public static final class Builder {

        private final ServerAddress address;
        private String method = "GET";
        private String target = "/";
        private LongFunction<List<Header>> headers = leftMilliseconds -> List.of();
        private byte[] body = new byte[0];
        private long deadlineMilliseconds;
        private long idleLimitMilliseconds = 1000;
        private BooleanSupplier permission = () -> true;
        private Function<ExchangeAnswer, AnswerAttribution> attribution =
                answer -> AnswerAttribution.PROVEN;
        private Predicate<ExchangeAnswer> reuseCheck = answer -> true;
        private IdentityCheck identityCheck = IdentityCheck.NONE;
        private int answerLimitBytes = Integer.MAX_VALUE;
        private boolean closeDelimitedAllowed;

        private Builder(ServerAddress address) {
            this.address = address;
        }

        /**
         * Sets the HTTP method.
         *
         * @param value the method
         * @return this builder
         */
        public Builder method(String value) {
            method = value;
            return this;
        }

        /**
         * Sets the path with the query.
         *
         * @param value the request target
         * @return this builder
         */
        public Builder target(String value) {
            target = value;
            return this;
        }

        /**
         * Sets the headers, which are created right before the request is sent.
         *
         * @param value creates the headers from the milliseconds left until the deadline
         * @return this builder
         */
        public Builder headers(LongFunction<List<Header>> value) {
            headers = value;
            return this;
        }

        /**
         * Sets the complete body.
         *
         * @param value the body, which must not be changed afterwards
         * @return this builder
         */
        public Builder body(byte[] value) {
            body = value;
            return this;
        }

        /**
         * Sets the maximum size of the answer's body. The limit of all exchanges applies as well.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder answerLimitBytes(int value) {
            answerLimitBytes = value;
            return this;
        }

        /**
         * Sets the time at which the exchange fails if it has not ended.
         *
         * @param value monotonic milliseconds
         * @return this builder
         */
        public Builder deadlineMilliseconds(long value) {
            deadlineMilliseconds = value;
            return this;
        }

        /**
         * Sets how long a pooled connection may have been idle to be reused.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder idleLimitMilliseconds(long value) {
            idleLimitMilliseconds = value;
            return this;
        }

        /**
         * Sets a check that runs right before the first byte is written.
         *
         * @param value returns false if the request must no longer be sent
         * @return this builder
         */
        public Builder permission(BooleanSupplier value) {
            permission = value;
            return this;
        }

        /**
         * Sets how answers are attributed to this request.
         *
         * @param value tells how an answer relates to this request
         * @return this builder
         */
        public Builder attribution(Function<ExchangeAnswer, AnswerAttribution> value) {
            attribution = value;
            return this;
        }

        /**
         * Sets the check whether the connection may be used for another request after an answer.
         *
         * @param value returns false if the connection must be closed
         * @return this builder
         */
        public Builder reuseCheck(Predicate<ExchangeAnswer> value) {
            reuseCheck = value;
            return this;
        }

        /**
         * Sets which boot identity the server must have to get the request.
         *
         * @param value the expected boot identity, and how to read it from the server
         * @return this builder
         */
        public Builder identityCheck(IdentityCheck value) {
            identityCheck = value;
            return this;
        }

        /**
         * Sets whether an answer without a length may end with the close of the connection.
         *
         * @param value true to accept such an answer as complete
         * @return this builder
         */
        public Builder closeDelimitedAllowed(boolean value) {
            closeDelimitedAllowed = value;
            return this;
        }

        /**
         * Builds the request.
         *
         * @return the request
         */
        public ExchangeRequest build() {
            return new ExchangeRequest(this);
        }
    }
}
