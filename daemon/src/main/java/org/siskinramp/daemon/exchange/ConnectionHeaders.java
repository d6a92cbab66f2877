package org.siskinramp.daemon.exchange;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.siskinramp.request.Header;

/** Removes hop-by-hop headers, which a proxy must not forward. */
public final class ConnectionHeaders {

    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "content-length");

    private ConnectionHeaders() {}

    /**
     * Removes the hop-by-hop headers, those that {@code Connection} lists, and additional ones.
     *
     * @param headers all headers
     * @param others names of additional headers to remove, in lower case
     * @return the headers to forward, in order
     */
    public static List<Header> without(List<Header> headers, Set<String> others) {
        Set<String> removed = new HashSet<>(others);
        removed.addAll(HOP_BY_HOP);
        headers.stream()
                .filter(header -> header.name().equalsIgnoreCase("connection"))
                .forEach(
                        header ->
                                removed.addAll(
                                        List.of(normalise(header.value()).split("\\s*,\\s*", -1))));
        return headers.stream()
                .filter(header -> !removed.contains(normalise(header.name())))
                .toList();
    }

    private static String normalise(String text) {
        return text.toLowerCase(Locale.ROOT).strip();
    }
}
