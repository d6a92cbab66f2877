package org.siskinramp.request;

import java.util.List;
import org.siskinramp.result.ResultCode;

/**
 * Holds the complete answer of a backend server, which can be sent to the caller.
 *
 * <p>Refusals and failures are not answers; they are reported as a {@link
 * org.siskinramp.result.ResultException}.
 *
 * @param code {@link ResultCode#ANSWERED} or {@link ResultCode#REPLAYED}
 * @param status the HTTP status of the backend server
 * @param headers the headers to forward, without hop-by-hop headers
 * @param body the complete body, which must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record Answer(ResultCode code, int status, List<Header> headers, byte[] body) {

    /**
     * Copies the headers, so that they are immutable.
     *
     * @param code the result code
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body
     */
    public Answer {
        headers = List.copyOf(headers);
    }

    /**
     * Returns the same answer, marked as the replayed answer of an earlier run.
     *
     * @return the replayed answer
     */
    public Answer asReplay() {
        return new Answer(ResultCode.REPLAYED, status, headers, body);
    }
}
