package org.siskinramp.attempt;

import java.util.Objects;
import org.siskinramp.result.Futures;

/** Reports an attempt that ended without a complete answer. */
public final class AttemptException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final AttemptFailure failure;
    private final transient LoadReport loadReport;

    /**
     * Creates an exception.
     *
     * @param failure why the attempt ended
     * @param loadReport the load report of the server, or {@link LoadReport#NONE}
     * @param detail details that help to find the cause
     */
    public AttemptException(AttemptFailure failure, LoadReport loadReport, String detail) {
        super(failure + ": " + detail, null, false, false);
        this.failure = Objects.requireNonNull(failure, "failure");
        this.loadReport = loadReport;
    }

    /**
     * Unwraps the failure of an attempt from the failure of a future.
     *
     * @param failure the failure as a future reports it
     * @return the attempt's failure; an exception of another type counts as a broken connection,
     *     since the request may have run
     */
    public static AttemptException from(Throwable failure) {
        Throwable cause = Futures.causeOf(failure);
        if (cause instanceof AttemptException attempt) {
            return attempt;
        }
        return new AttemptException(
                AttemptFailure.CONNECTION_BROKEN, LoadReport.NONE, String.valueOf(cause));
    }

    /**
     * Returns why the attempt ended.
     *
     * @return the reason
     */
    public AttemptFailure failure() {
        return failure;
    }

    /**
     * Returns the load report of the server.
     *
     * @return the load report, or {@link LoadReport#NONE}
     */
    public LoadReport loadReport() {
        return loadReport == null ? LoadReport.NONE : loadReport;
    }
}
