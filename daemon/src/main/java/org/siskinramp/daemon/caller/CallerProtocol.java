package org.siskinramp.daemon.caller;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.siskinramp.request.Answer;
import org.siskinramp.result.ResultException;

/** Translates between requests and what callers speak. */
public interface CallerProtocol {

    /**
     * Reads the head of a request.
     *
     * @param request the request, whose body was not read
     * @return the accepted request
     * @throws ResultException if the request is refused
     */
    CallerCall read(Request request);

    /**
     * Returns the identifier of a request that may not be acceptable.
     *
     * @param request the request
     * @return the identifier, or null if it names none
     */
    String requestIdOf(Request request);

    /**
     * Adds the headers of an answer.
     *
     * @param answer the answer
     * @param requestId the identifier of the request
     * @param headers where to add them
     */
    void describe(Answer answer, String requestId, HttpFields.Mutable headers);

    /**
     * Adds the headers of a refusal or a failure.
     *
     * @param refusal why there is no answer
     * @param requestId the identifier of the request, or null
     * @param headers where to add them
     */
    void describe(ResultException refusal, String requestId, HttpFields.Mutable headers);

    /**
     * Returns the HTTP status of a refusal or a failure.
     *
     * @param refusal why there is no answer
     * @return the status
     */
    int statusOf(ResultException refusal);
}
