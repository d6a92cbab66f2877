package org.siskinramp.standin.cluster;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.siskinramp.request.Header;
import org.siskinramp.standin.upstream.RunListener;

/** Records the header fields of the requests that backend servers receive, by request. */
final class ReceivedFields implements RunListener {

    private static final String REQUEST_ID = "X-Siskinramp-Request-Id";

    private final Map<String, List<Header>> fields = new ConcurrentHashMap<>();

    @Override
    public void received(List<Header> received) {
        received.stream()
                .filter(field -> field.name().equalsIgnoreCase(REQUEST_ID))
                .forEach(field -> fields.put(field.value(), received));
    }

    @Override
    public void started(String requestId) {}

    @Override
    public void ended(String requestId) {}

    /** Returns the fields of a request in order; fails if no server received it. */
    List<Header> of(String requestId) {
        List<Header> received = fields.get(requestId);
        assertNotNull(received, requestId);
        return received;
    }

    /** Returns the values that a header of a request had; none if no server received it. */
    List<String> values(String requestId, String name) {
        return fields.getOrDefault(requestId, List.of()).stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(Header::value)
                .toList();
    }

    /** Returns the identifiers of the requests that servers received. */
    Set<String> requestIds() {
        return Set.copyOf(fields.keySet());
    }

    void clear() {
        fields.clear();
    }
}
