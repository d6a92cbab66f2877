package org.siskinramp.result;

import java.util.OptionalLong;

/**
 * Carries a result code as the failure of a {@link java.util.concurrent.CompletableFuture}.
 *
 * <pre>{@code
 * future.completeExceptionally(new ResultException(ResultCode.QUEUE_FULL, "service=portal"));
 * }</pre>
 */
public final class ResultException extends RuntimeException {

    private static final long serialVersionUID = 1L;
    private static final long NO_RETRY = -1;

    private final ResultCode code;
    private final long retryAfterMilliseconds;
    private final boolean everyCopy;

    /**
     * Creates a failure without advice on when to come back.
     *
     * @param code the result code
     * @param detail what a person needs to find the cause
     */
    public ResultException(ResultCode code, String detail) {
        this(code, code.meaning() + ": " + detail, NO_RETRY, null, false);
    }

    /**
     * Creates a failure with advice on when to come back.
     *
     * @param code the result code
     * @param detail what a person needs to find the cause
     * @param retryAfterMilliseconds when a retry makes sense, in milliseconds from now
     */
    public ResultException(ResultCode code, String detail, long retryAfterMilliseconds) {
        this(code, code.meaning() + ": " + detail, retryAfterMilliseconds, null, false);
    }

    /**
     * Creates a failure with its cause.
     *
     * @param code the result code
     * @param detail what a person needs to find the cause
     * @param cause the failure beneath
     */
    public ResultException(ResultCode code, String detail, Throwable cause) {
        this(code, code.meaning() + ": " + detail, NO_RETRY, cause, false);
    }

    private ResultException(
            ResultCode code,
            String message,
            long retryAfterMilliseconds,
            Throwable cause,
            boolean everyCopy) {
        super(message, cause, false, cause != null);
        this.code = code;
        this.retryAfterMilliseconds = retryAfterMilliseconds;
        this.everyCopy = everyCopy;
    }

    /**
     * Returns the same failure with the proof that no copy of the request has run, through any
     * entry host. Without it a result that promises "not run" speaks of this copy alone.
     *
     * @return the failure of the request as a whole
     */
    public ResultException ofEveryCopy() {
        return new ResultException(code, getMessage(), retryAfterMilliseconds, getCause(), true);
    }

    /**
     * Tells whether no copy of the request has run, through any entry host.
     *
     * @return true if the request as a whole did not run
     */
    public boolean isNotRunInAnyCopy() {
        return everyCopy && code.isNotRun();
    }

    /**
     * Finds the result code beneath a failed future.
     *
     * @param failure the failure as a future reports it
     * @return the result failure itself, or one with {@link ResultCode#INVARIANT_VIOLATED} around
     *     an unexpected failure
     */
    public static ResultException from(Throwable failure) {
        Throwable cause = Futures.causeOf(failure);
        if (cause instanceof ResultException result) {
            return result;
        }
        return new ResultException(ResultCode.INVARIANT_VIOLATED, String.valueOf(cause), cause);
    }

    /**
     * Returns the result code.
     *
     * @return the code
     */
    public ResultCode code() {
        return code;
    }

    /**
     * Returns when a retry makes sense.
     *
     * @return milliseconds from now, or empty if there is no advice
     */
    public OptionalLong retryAfterMilliseconds() {
        return retryAfterMilliseconds < 0
                ? OptionalLong.empty()
                : OptionalLong.of(retryAfterMilliseconds);
    }
}
