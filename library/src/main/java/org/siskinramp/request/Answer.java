package org.siskinramp.request;

import java.util.List;
import org.siskinramp.result.ResultCode;

/**
 * Holds a whole answer from a backend server, ready to be given to the caller.
 *
 * <p>Refusals and failures are not answers; they travel as a {@link
 * org.siskinramp.result.ResultException}.
 *
 * @param code {@link ResultCode#ANSWERED} or {@link ResultCode#REPLAYED}
 * @param status the HTTP status of the backend server
 * @param headers the headers to pass on, without those of the connection
 * @param body the whole body; callers must not change it
 */
@SuppressWarnings("ArrayRecordComponent")
public record Answer(ResultCode code, int status, List<Header> headers, byte[] body) {

    /**
     * Copies the headers so that the answer cannot change.
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
     * Returns the same answer marked as a replay of an earlier run.
     *
     * @return the replayed answer
     */
    public Answer asReplay() {
        return new Answer(ResultCode.REPLAYED, status, headers, body);
    }
}
