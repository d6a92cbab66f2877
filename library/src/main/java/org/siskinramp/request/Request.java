package org.siskinramp.request;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.siskinramp.workspace.Workspace;

/**
 * Holds a complete request of a caller.
 *
 * <pre>{@code
 * Request request = Request.builder()
 *         .key(new RequestKey("crew-7", "order-1812"))
 *         .service("dispatch")
 *         .kind(shutOffOrder)
 *         .method("POST").target("/dispatch/orders")
 *         .body(bytes).contentHash(hash)
 *         .arrivedMilliseconds(now).deadlineMilliseconds(now + 2000)
 *         .build();
 * }</pre>
 */
public final class Request {

    private final RequestKey key;
    private final String service;
    private final RequestKind kind;
    private final Optional<Workspace> workspace;
    private final String method;
    private final String target;
    private final List<Header> headers;
    private final byte[] body;
    private final String contentHash;
    private final long arrivedMilliseconds;
    private final long deadlineMilliseconds;

    private Request(Builder builder) {
        key = Objects.requireNonNull(builder.key, "key");
        service = Objects.requireNonNull(builder.service, "service");
        kind = Objects.requireNonNull(builder.kind, "kind");
        workspace = builder.workspace;
        method = Objects.requireNonNull(builder.method, "method");
        target = Objects.requireNonNull(builder.target, "target");
        headers = List.copyOf(builder.headers);
        body = builder.body;
        contentHash = Objects.requireNonNull(builder.contentHash, "contentHash");
        arrivedMilliseconds = builder.arrivedMilliseconds;
        deadlineMilliseconds = builder.deadlineMilliseconds;
    }

    /**
     * Returns a builder of a request.
     *
     * @return an empty builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the caller and the identifier.
     *
     * @return the key
     */
    public RequestKey key() {
        return key;
    }

    /**
     * Returns the name of the service.
     *
     * @return the service
     */
    public String service() {
        return service;
    }

    /**
     * Returns the kind of the request.
     *
     * @return the kind
     */
    public RequestKind kind() {
        return kind;
    }

    /**
     * Returns the workspace whose key the request bears.
     *
     * @return the workspace, empty if the request needs no key
     */
    public Optional<Workspace> workspace() {
        return workspace;
    }

    /**
     * Returns the HTTP method.
     *
     * @return the method
     */
    public String method() {
        return method;
    }

    /**
     * Returns the path with the query.
     *
     * @return the request target
     */
    public String target() {
        return target;
    }

    /**
     * Returns the headers to forward, without hop-by-hop headers.
     *
     * @return the headers
     */
    public List<Header> headers() {
        return headers;
    }

    /**
     * Returns the complete body, which must not be modified.
     *
     * @return the body
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the hash of method, target and body.
     *
     * @return the hash in hexadecimal
     */
    public String contentHash() {
        return contentHash;
    }

    /**
     * Returns when the request arrived.
     *
     * @return monotonic milliseconds
     */
    public long arrivedMilliseconds() {
        return arrivedMilliseconds;
    }

    /**
     * Returns the deadline, after which the caller does not wait for an answer.
     *
     * @return monotonic milliseconds
     */
    public long deadlineMilliseconds() {
        return deadlineMilliseconds;
    }

    /**
     * Returns the same request without its body, for those who need to know only what it was.
     *
     * @return a request with an empty body
     */
    public Request withoutBody() {
        return builder()
                .key(key)
                .service(service)
                .kind(kind)
                .workspace(workspace)
                .method(method)
                .target(target)
                .headers(headers)
                .contentHash(contentHash)
                .arrivedMilliseconds(arrivedMilliseconds)
                .deadlineMilliseconds(deadlineMilliseconds)
                .build();
    }

    /** Collects the parts of a request. */
    public static final class Builder {

        private RequestKey key;
        private String service;
        private RequestKind kind;
        private Optional<Workspace> workspace = Optional.empty();
        private String method;
        private String target;
        private List<Header> headers = List.of();
        private byte[] body = new byte[0];
        private String contentHash;
        private long arrivedMilliseconds;
        private long deadlineMilliseconds;

        private Builder() {}

        /**
         * Sets the caller and the identifier.
         *
         * @param value the key
         * @return this builder
         */
        public Builder key(RequestKey value) {
            key = value;
            return this;
        }

        /**
         * Sets the name of the service.
         *
         * @param value the service
         * @return this builder
         */
        public Builder service(String value) {
            service = value;
            return this;
        }

        /**
         * Sets the kind.
         *
         * @param value the kind
         * @return this builder
         */
        public Builder kind(RequestKind value) {
            kind = value;
            return this;
        }

        /**
         * Sets the workspace whose key the request bears.
         *
         * @param value the workspace, empty if the request needs no key
         * @return this builder
         */
        public Builder workspace(Optional<Workspace> value) {
            workspace = value;
            return this;
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
         * Sets the headers to forward.
         *
         * @param value the headers
         * @return this builder
         */
        public Builder headers(List<Header> value) {
            headers = value;
            return this;
        }

        /**
         * Sets the complete body.
         *
         * @param value the body, which must not be modified afterwards
         * @return this builder
         */
        public Builder body(byte[] value) {
            body = value;
            return this;
        }

        /**
         * Sets the hash of method, target and body.
         *
         * @param value the hash in hexadecimal
         * @return this builder
         */
        public Builder contentHash(String value) {
            contentHash = value;
            return this;
        }

        /**
         * Sets when the request arrived.
         *
         * @param value monotonic milliseconds
         * @return this builder
         */
        public Builder arrivedMilliseconds(long value) {
            arrivedMilliseconds = value;
            return this;
        }

        /**
         * Sets the deadline, after which the caller does not wait for an answer.
         *
         * @param value monotonic milliseconds
         * @return this builder
         */
        public Builder deadlineMilliseconds(long value) {
            deadlineMilliseconds = value;
            return this;
        }

        /**
         * Builds the request.
         *
         * @return the request
         * @throws NullPointerException if a required part is missing
         */
        public Request build() {
            return new Request(this);
        }
    }
}
