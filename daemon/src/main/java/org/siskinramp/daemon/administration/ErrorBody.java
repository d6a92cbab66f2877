package org.siskinramp.daemon.administration;

import org.siskinramp.result.ResultException;

/**
 * The JSON body of an answer that reports a refusal or a failure.
 *
 * @param code the number of the result code
 * @param name the name of the result code
 * @param message a human-readable description
 */
public record ErrorBody(int code, String name, String message) {

    /**
     * Creates the body for a failure.
     *
     * @param failure the failure
     * @return the body
     */
    public static ErrorBody of(ResultException failure) {
        return new ErrorBody(failure.code().number(), failure.code().name(), failure.getMessage());
    }
}
