package org.siskinramp.daemon.platform;

import java.io.IOException;
import org.siskinramp.attempt.AttemptException;
import org.siskinramp.daemon.exchange.ExchangeAnswer;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Tells what an exchange with the platform's service means for the data. */
final class PlatformResults {

    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private PlatformResults() {}

    /**
     * Judges a write.
     *
     * @param answer the answer, or null
     * @param failure the failure, or null
     * @return nothing
     * @throws ResultException unless the write is durable
     */
    static Void ofWrite(ExchangeAnswer answer, Throwable failure) {
        if (failure != null) {
            throw lost(failure);
        }
        switch (answer.status()) {
            case OK, NO_CONTENT -> {
                return null;
            }
            case CONFLICT -> throw result(ResultCode.CONDITION_FAILED, answer);
            case BAD_REQUEST, UNAVAILABLE -> throw result(ResultCode.PLATFORM_UNAVAILABLE, answer);
            default -> throw result(ResultCode.PLATFORM_ANSWER_LOST, answer);
        }
    }

    private static ResultException lost(Throwable failure) {
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
     * Judges a read.
     *
     * @param answer the answer, or null
     * @param failure the failure, or null
     * @param reader reads the body
     * @return what the body holds
     * @throws ResultException with {@code PLATFORM_UNAVAILABLE} if nothing was read
     */
    static <T> T ofRead(ExchangeAnswer answer, Throwable failure, BodyReader<T> reader) {
        if (failure != null) {
            throw new ResultException(
                    ResultCode.PLATFORM_UNAVAILABLE, String.valueOf(failure.getMessage()));
        }
        if (answer.status() != OK) {
            throw result(ResultCode.PLATFORM_UNAVAILABLE, answer);
        }
        try {
            return reader.read(answer.body());
        } catch (IOException | RuntimeException malformed) {
            throw new ResultException(
                    ResultCode.PLATFORM_UNAVAILABLE, "malformed answer", malformed);
        }
    }

    private static ResultException result(ResultCode code, ExchangeAnswer answer) {
        return new ResultException(code, "status=" + answer.status());
    }
}
