package org.siskinramp.attempt;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.request.Request;

/** Describes one attempt to run a request on a backend server. */
public final class Attempt {

    private final long number;
    private final Request request;
    private final BackendServer backendServer;
    private final long deadlineMilliseconds;
    private final boolean cold;
    private final String expectedBootIdentity;
    private final BooleanSupplier permission;
    private final boolean newConnectionNeeded;

    /**
     * Creates an attempt that may use a pooled connection.
     *
     * @param number a number that is unique on this entry host
     * @param request the request
     * @param backendServer the server to run it on
     * @param deadlineMilliseconds when the attempt times out, in monotonic milliseconds; the time
     *     that is left is sent to the backend server
     * @param cold whether the server is cold
     * @param expectedBootIdentity the boot identity of the server process that must get the
     *     request, or an empty string if any process may
     * @param permission evaluated right before the first byte is written; if it returns false,
     *     nothing may be sent
     */
    public Attempt(
            long number,
            Request request,
            BackendServer backendServer,
            long deadlineMilliseconds,
            boolean cold,
            String expectedBootIdentity,
            BooleanSupplier permission) {
        this(
                number,
                request,
                backendServer,
                deadlineMilliseconds,
                cold,
                expectedBootIdentity,
                permission,
                false);
    }

    private Attempt(
            long number,
            Request request,
            BackendServer backendServer,
            long deadlineMilliseconds,
            boolean cold,
            String expectedBootIdentity,
            BooleanSupplier permission,
            boolean newConnectionNeeded) {
        this.number = number;
        this.request = Objects.requireNonNull(request, "request");
        this.backendServer = Objects.requireNonNull(backendServer, "backendServer");
        this.deadlineMilliseconds = deadlineMilliseconds;
        this.cold = cold;
        this.expectedBootIdentity =
                Objects.requireNonNull(expectedBootIdentity, "expectedBootIdentity");
        this.permission = Objects.requireNonNull(permission, "permission");
        this.newConnectionNeeded = newConnectionNeeded;
    }

    /**
     * Returns the same attempt on a connection that is opened for it. An attempt that follows one
     * without an answer needs this: a network device that loses its connection state drops the
     * packets of all connections that were open, also of those to other backend servers.
     *
     * @return an attempt that uses no pooled connection
     */
    public Attempt onNewConnection() {
        return new Attempt(
                number,
                request,
                backendServer,
                deadlineMilliseconds,
                cold,
                expectedBootIdentity,
                permission,
                true);
    }

    /**
     * Tells whether the attempt must open a connection.
     *
     * @return false if a pooled connection may be used
     */
    public boolean isNewConnectionNeeded() {
        return newConnectionNeeded;
    }

    /**
     * Returns the number of the attempt.
     *
     * @return a number that is unique on this entry host
     */
    public long number() {
        return number;
    }

    /**
     * Returns the request.
     *
     * @return the request
     */
    public Request request() {
        return request;
    }

    /**
     * Returns the server to run the request on.
     *
     * @return the backend server
     */
    public BackendServer backendServer() {
        return backendServer;
    }

    /**
     * Returns when the attempt times out.
     *
     * @return monotonic milliseconds
     */
    public long deadlineMilliseconds() {
        return deadlineMilliseconds;
    }

    /**
     * Tells whether the server is cold.
     *
     * @return true if it is cold
     */
    public boolean isCold() {
        return cold;
    }

    /**
     * Returns the boot identity of the server process that must get the request. On a connection on
     * which the server has not shown its boot identity yet, the sender asks for it before it sends
     * the request. If the identity differs, the attempt fails with {@link
     * AttemptFailure#NOT_PERMITTED} and a load report that holds the identity of the server.
     *
     * @return the boot identity, or an empty string if any process may get the request
     */
    public String expectedBootIdentity() {
        return expectedBootIdentity;
    }

    /**
     * Tells whether the attempt may be sent at the moment of the call.
     *
     * @return false if nothing may be sent any more
     */
    public boolean isPermitted() {
        return permission.getAsBoolean();
    }
}
