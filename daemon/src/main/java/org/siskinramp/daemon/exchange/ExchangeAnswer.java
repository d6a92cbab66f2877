package org.siskinramp.daemon.exchange;

import java.util.List;
import java.util.Optional;
import org.siskinramp.request.Header;

/**
 * Holds a whole answer of a server.
 *
 * @param status the HTTP status
 * @param headers all headers, in the order in which they came
 * @param body the whole body
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
     * Finds a header.
     *
     * @param name the name, in any case
     * @return the value of the first header of that name
     */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(Header::value)
                .findFirst();
    }
}
