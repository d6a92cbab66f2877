package org.siskinramp.daemon.exchange;

import java.util.Objects;

/**
 * Makes sure that a request goes to a server with the expected boot identity, which changes with
 * each start of the server.
 *
 * @param header the answer header that holds the boot identity, or an empty string if there is none
 * @param expected the boot identity that the server must have, or an empty string for any
 * @param questionTarget the target to {@code GET} on a connection whose identity is not yet known
 */
public record IdentityCheck(String header, String expected, String questionTarget) {

    /** Accepts any server and records no identity. */
    public static final IdentityCheck NONE = new IdentityCheck("", "", "");

    /**
     * Checks that no component is null.
     *
     * @param header the answer header
     * @param expected the expected boot identity
     * @param questionTarget the target of the identity request
     */
    public IdentityCheck {
        Objects.requireNonNull(header, "header");
        Objects.requireNonNull(expected, "expected");
        Objects.requireNonNull(questionTarget, "questionTarget");
    }

    boolean needsIdentityRequest(PooledConnection connection) {
        return !expected.isEmpty() && connection.identity().isEmpty();
    }

    boolean accepts(PooledConnection connection) {
        return expected.isEmpty() || expected.equals(connection.identity().orElse(""));
    }

    IdentityCheck withoutExpectation() {
        return new IdentityCheck(header, "", questionTarget);
    }

    void recordIdentity(PooledConnection connection, ExchangeAnswer answer) {
        if (!header.isEmpty()) {
            connection.setIdentity(answer.header(header).orElse(""));
        }
    }
}
