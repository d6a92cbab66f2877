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
    private final boolean holdsForEveryCopy;

    /**
     * Creates an exception without a retry-after delay.
     *
     * @param code the result code
     * @param detail details that help to find the cause
     */
    public ResultException(ResultCode code, String detail) {
        this(code, code.meaning() + ": " + detail, NO_RETRY, null, false);
    }

    /**
     * Creates an exception with a retry-after delay.
     *
     * @param code the result code
     * @param detail details that help to find the cause
     * @param retryAfterMilliseconds the time after which a retry makes sense, in milliseconds
     */
    public ResultException(ResultCode code, String detail, long retryAfterMilliseconds) {
        this(code, code.meaning() + ": " + detail, retryAfterMilliseconds, null, false);
    }

    /**
     * Creates an exception with its cause.
     *
     * @param code the result code
     * @param detail details that help to find the cause
     * @param cause the cause
     */
    public ResultException(ResultCode code, String detail, Throwable cause) {
        this(code, code.meaning() + ": " + detail, NO_RETRY, cause, false);
    }

    private ResultException(
            ResultCode code,
            String message,
            long retryAfterMilliseconds,
            Throwable cause,
            boolean holdsForEveryCopy) {
        super(message, cause, false, cause != null);
        this.code = code;
        this.retryAfterMilliseconds = retryAfterMilliseconds;
        this.holdsForEveryCopy = holdsForEveryCopy;
    }

    /**
     * Returns the same failure, marked as proven for all copies of the request: no entry host has
     * run any of them. Without the mark, a result code that guarantees "not run" holds only for the
     * copy on this entry host.
     *
     * @return the failure of the request as a whole
     */
    public ResultException forEveryCopy() {
        return new ResultException(code, getMessage(), retryAfterMilliseconds, getCause(), true);
    }

    /**
     * Tells whether no copy of the request has run through any entry host.
     *
     * @return true if the request as a whole did not run
     */
    public boolean isNotRunInAnyCopy() {
        return holdsForEveryCopy && code.isNotRun();
    }

    /**
     * Unwraps the result exception from the failure of a future.
     *
     * @param failure the failure as a future reports it
     * @return the result exception; a failure of another type is wrapped in one with {@link
     *     ResultCode#INVARIANT_VIOLATED}
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
     * Returns the time after which a retry makes sense.
     *
     * @return milliseconds, or empty if there is no retry-after delay
     */
    public OptionalLong retryAfterMilliseconds() {
        return retryAfterMilliseconds < 0
                ? OptionalLong.empty()
                : OptionalLong.of(retryAfterMilliseconds);
    }
}
