package org.siskinramp.ledger;

import java.util.List;
import java.util.Optional;
import org.siskinramp.request.Header;

/**
 * Describes an answer as a claim row keeps it.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param length the length of the body in bytes
 * @param body the body, if it is in the row
 * @param object the name of the object with the body, if it is in the object store
 */
public record KeptAnswer(
        int status,
        List<Header> headers,
        int length,
        Optional<byte[]> body,
        Optional<String> object) {

    /** Copies the headers so that the answer cannot change. */
    public KeptAnswer {
        headers = List.copyOf(headers);
    }
}
