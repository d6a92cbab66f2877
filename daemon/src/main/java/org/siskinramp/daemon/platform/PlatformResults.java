package org.siskinramp.daemon.platform;

import java.io.IOException;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.daemon.exchange.ExchangeAnswer;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Converts the end of a call to the platform to its result, or to a failure with a result code. */
final class PlatformResults {

    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private PlatformResults() {}

    /**
     * Returns normally if a write is durable.
     *
     * @param answer the answer, or null
     * @param failure the failure, or null
     * @return null
     * @throws ResultException unless the write is durable, with {@code PLATFORM_ANSWER_LOST} if it
     *     may or may not have taken effect
     */
    static Void ofWrite(ExchangeAnswer answer, Throwable failure) {
        if (failure != null) {
            throw ofFailure(failure);
        }
        switch (answer.status()) {
            case OK, NO_CONTENT -> {
                return null;
            }
            case CONFLICT -> throw ofStatus(ResultCode.CONDITION_FAILED, answer);
            case BAD_REQUEST, UNAVAILABLE ->
                    throw ofStatus(ResultCode.PLATFORM_UNAVAILABLE, answer);
            default -> throw ofStatus(ResultCode.PLATFORM_ANSWER_LOST, answer);
        }
    }

    private static ResultException ofFailure(Throwable failure) {
        if (failure instanceof ResultException result) {
            return result;
        }
        AttemptException attempt = AttemptException.from(failure);
        ResultCode code =
                attempt.failure().isNotRun()
                        ? ResultCode.PLATFORM_UNAVAILABLE
                        : ResultCode.PLATFORM_ANSWER_LOST;
        return new ResultException(code, attempt.getMessage());
    }

    /**
     * Returns the result of a read.
     *
     * @param answer the answer, or null
     * @param failure the failure, or null
     * @param reader parses the body
     * @return the parsed body
     * @throws ResultException with {@code PLATFORM_UNAVAILABLE} if the read failed for any reason
     */
    static <T> T ofRead(ExchangeAnswer answer, Throwable failure, BodyReader<T> reader) {
        if (failure != null) {
            throw new ResultException(
                    ResultCode.PLATFORM_UNAVAILABLE, String.valueOf(failure.getMessage()));
        }
        if (answer.status() != OK) {
            throw ofStatus(ResultCode.PLATFORM_UNAVAILABLE, answer);
        }
        try {
            return reader.read(answer.body());
        } catch (IOException | RuntimeException malformed) {
            throw new ResultException(
                    ResultCode.PLATFORM_UNAVAILABLE, "malformed answer", malformed);
        }
    }

    private static ResultException ofStatus(ResultCode code, ExchangeAnswer answer) {
        return new ResultException(code, "status=" + answer.status());
    }
}
