package org.siskinramp.attempt;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.request.Request;

/** Describes one try to run a request on a backend server. */
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
     * Describes an attempt on any connection.
     *
     * @param number a number that is unique on this entry host
     * @param request the request
     * @param backendServer where to run it
     * @param deadlineMilliseconds when the attempt is given up, in monotonic milliseconds; the
     *     backend server is told the time that is left
     * @param cold whether the server is in its cold start
     * @param expectedBootIdentity the start of the server that must get the request, or an empty
     *     string if any may
     * @param permission asked at the last moment before the first byte goes out; if it answers
     *     false nothing may be sent
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
     * Returns the same attempt on a connection that is opened for it. A network that loses track of
     * connections loses all that were open, those to other backend servers too, so an attempt that
     * follows a silent one must not wait on another of them.
     *
     * @return an attempt that uses no kept connection
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
     * @return false if a kept connection may be used
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
     * Returns where to run it.
     *
     * @return the backend server
     */
    public BackendServer backendServer() {
        return backendServer;
    }

    /**
     * Returns when the attempt is given up.
     *
     * @return monotonic milliseconds
     */
    public long deadlineMilliseconds() {
        return deadlineMilliseconds;
    }

    /**
     * Tells whether the server is in its cold start.
     *
     * @return true if it is cold
     */
    public boolean isCold() {
        return cold;
    }

    /**
     * Returns which start of the server must get the request. A link makes sure of it before it
     * sends: on a connection that has not yet shown which start it leads to it asks first, and
     * fails with {@link AttemptFailure#NOT_PERMITTED} and the load report if it is another one.
     *
     * @return the boot identity, or an empty string if any start may get it
     */
    public String expectedBootIdentity() {
        return expectedBootIdentity;
    }

    /**
     * Tells, at the moment of the call, whether the attempt may still be sent.
     *
     * @return false if nothing may be sent any more
     */
    public boolean isPermitted() {
        return permission.getAsBoolean();
    }
}
