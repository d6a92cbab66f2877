package org.siskinramp.daemon.administration;

import org.siskinramp.result.ResultException;

/**
 * Holds the JSON body of a refusal or failure.
 *
 * @param code the number of the result code
 * @param name the name of the result code
 * @param message one sentence for people
 */
public record ErrorBody(int code, String name, String message) {

    /**
     * Describes a failure.
     *
     * @param failure the failure
     * @return the body
     */
    public static ErrorBody of(ResultException failure) {
        return new ErrorBody(failure.code().number(), failure.code().name(), failure.getMessage());
    }
}
