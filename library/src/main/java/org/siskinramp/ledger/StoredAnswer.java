package org.siskinramp.ledger;

import java.util.List;
import java.util.Optional;
import org.siskinramp.request.Header;

/**
 * Describes an answer as it is stored in a claim row.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param length the length of the body in bytes
 * @param body the body, if it is stored in the row
 * @param object the name of the object that holds the body, if it is in the object store
 */
public record StoredAnswer(
        int status,
        List<Header> headers,
        int length,
        Optional<byte[]> body,
        Optional<String> object) {

    /** Copies the headers, so that they are immutable. */
    public StoredAnswer {
        headers = List.copyOf(headers);
    }
}
