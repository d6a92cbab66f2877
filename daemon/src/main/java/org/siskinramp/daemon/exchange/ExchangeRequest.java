package org.siskinramp.daemon.exchange;

import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;
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
    private final Predicate<ExchangeAnswer> answerCheck;
    private final IdentityCheck identityCheck;
    private final boolean endByCloseAllowed;
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
        answerCheck = Objects.requireNonNull(builder.answerCheck, "answerCheck");
        identityCheck = Objects.requireNonNull(builder.identityCheck, "identityCheck");
        endByCloseAllowed = builder.endByCloseAllowed;
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

    boolean accepts(ExchangeAnswer answer) {
        return answerCheck.test(answer);
    }

    IdentityCheck identityCheck() {
        return identityCheck;
    }

    int answerLimitBytes() {
        return answerLimitBytes;
    }

    boolean isEndByCloseAllowed() {
        return endByCloseAllowed;
    }

    /** Makes the request that asks for the identity of the server, with the same deadline. */
    ExchangeRequest identityQuestion() {
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
        private Predicate<ExchangeAnswer> answerCheck = answer -> true;
        private IdentityCheck identityCheck = IdentityCheck.NONE;
        private int answerLimitBytes = Integer.MAX_VALUE;
        private boolean endByCloseAllowed;

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
         * Sets the headers, which are made when the request is about to be sent.
         *
         * @param value makes the headers from the milliseconds that are left until the deadline
         * @return this builder
         */
        public Builder headers(LongFunction<List<Header>> value) {
            headers = value;
            return this;
        }

        /**
         * Sets the whole body.
         *
         * @param value the body, which must not be changed afterwards
         * @return this builder
         */
        public Builder body(byte[] value) {
            body = value;
            return this;
        }

        /**
         * Sets the greatest size of the answer's body, below the limit of all exchanges.
         *
         * @param value bytes
         * @return this builder
         */
        public Builder answerLimitBytes(int value) {
            answerLimitBytes = value;
            return this;
        }

        /**
         * Sets when the exchange is given up.
         *
         * @param value monotonic milliseconds
         * @return this builder
         */
        public Builder deadlineMilliseconds(long value) {
            deadlineMilliseconds = value;
            return this;
        }

        /**
         * Sets how long a pooled connection may have been idle to be used.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder idleLimitMilliseconds(long value) {
            idleLimitMilliseconds = value;
            return this;
        }

        /**
         * Sets what is asked at the last moment before the first byte is written.
         *
         * @param value answers false if nothing may be sent any more
         * @return this builder
         */
        public Builder permission(BooleanSupplier value) {
            permission = value;
            return this;
        }

        /**
         * Sets the test that tells whether an answer belongs to this request.
         *
         * @param value answers false for the answer to another request
         * @return this builder
         */
        public Builder answerCheck(Predicate<ExchangeAnswer> value) {
            answerCheck = value;
            return this;
        }

        /**
         * Sets which start of the server must get the request.
         *
         * @param value the start, and how a server shows it
         * @return this builder
         */
        public Builder identityCheck(IdentityCheck value) {
            identityCheck = value;
            return this;
        }

        /**
         * Sets whether the close of the connection may end an answer that names no length.
         *
         * @param value true to take such an answer as whole
         * @return this builder
         */
        public Builder endByCloseAllowed(boolean value) {
            endByCloseAllowed = value;
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
