package org.siskinramp.daemon.administration;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.siskinramp.result.ResultException;

/**
 * An answer of the administration API.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param retryAfterMilliseconds the delay before a retry in milliseconds, if one is advised
 * @param body the complete body
 */
@SuppressWarnings("ArrayRecordComponent")
record ApiAnswer(int status, String contentType, OptionalLong retryAfterMilliseconds, byte[] body) {

    private static final int OK = 200;
    private static final String JSON = "application/json";

    static ApiAnswer json(Object value) {
        return json(OK, OptionalLong.empty(), value);
    }

    static ApiAnswer text(int status, String text) {
        return new ApiAnswer(
                status,
                "text/plain;charset=utf-8",
                OptionalLong.empty(),
                (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    static ApiAnswer content(String contentType, byte[] body) {
        return new ApiAnswer(OK, contentType, OptionalLong.empty(), body);
    }

    static ApiAnswer failure(ResultException failure) {
        return json(
                failure.code().httpStatus(),
                failure.retryAfterMilliseconds(),
                ErrorBody.of(failure));
    }

    private static ApiAnswer json(int status, OptionalLong retryAfterMilliseconds, Object value) {
        byte[] body = (AdministrationJson.write(value) + "\n").getBytes(StandardCharsets.UTF_8);
        return new ApiAnswer(status, JSON, retryAfterMilliseconds, body);
    }
}
