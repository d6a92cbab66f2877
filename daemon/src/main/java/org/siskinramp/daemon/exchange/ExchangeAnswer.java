package org.siskinramp.daemon.exchange;

import java.util.List;
import java.util.Optional;
import org.siskinramp.request.Header;

/**
 * A complete answer of a server.
 *
 * @param status the HTTP status
 * @param headers all headers, in the order received
 * @param body the complete body
 */
@SuppressWarnings("ArrayRecordComponent")
public record ExchangeAnswer(int status, List<Header> headers, byte[] body) {

    /**
     * Copies the headers so that the answer cannot change.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body
     */
    public ExchangeAnswer {
        headers = List.copyOf(headers);
    }

    /**
     * Returns the value of a header.
     *
     * @param name the name, compared without regard to case
     * @return the value of the first header with that name
     */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(Header::value)
                .findFirst();
    }
}
