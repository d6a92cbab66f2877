package org.siskinramp.daemon.exchange;

import java.util.Objects;

/**
 * Binds a request to one start of a server.
 *
 * @param header the header of an answer in which the server names its start, or an empty string if
 *     it names none
 * @param expected the start that must get the request, or an empty string if any may
 * @param questionTarget what to {@code GET} on a connection that has not yet shown the start
 */
public record IdentityCheck(String header, String expected, String questionTarget) {

    /** Remembers and expects nothing. */
    public static final IdentityCheck NONE = new IdentityCheck("", "", "");

    /**
     * Checks the parts.
     *
     * @param header the header
     * @param expected the start that is expected
     * @param questionTarget the target of the question
     */
    public IdentityCheck {
        Objects.requireNonNull(header, "header");
        Objects.requireNonNull(expected, "expected");
        Objects.requireNonNull(questionTarget, "questionTarget");
    }

    boolean needsQuestion(PooledConnection connection) {
        return !expected.isEmpty() && connection.identity().isEmpty();
    }

    boolean accepts(PooledConnection connection) {
        return expected.isEmpty() || expected.equals(connection.identity().orElse(""));
    }

    IdentityCheck withoutExpectation() {
        return new IdentityCheck(header, "", questionTarget);
    }

    void remember(PooledConnection connection, ExchangeAnswer answer) {
        if (!header.isEmpty()) {
            connection.showIdentity(answer.header(header).orElse(""));
        }
    }
}
