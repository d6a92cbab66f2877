package org.siskinramp.daemon.exchange;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.siskinramp.request.Header;

/** Separates the headers of a connection from those that are passed on. */
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
     * Drops the headers that belong to one connection, those that {@code Connection} lists, and
     * others that the caller names.
     *
     * @param headers all headers
     * @param others more names to drop, in lower case
     * @return the headers to pass on, in order
     */
    public static List<Header> without(List<Header> headers, Set<String> others) {
        Set<String> dropped = new HashSet<>(others);
        dropped.addAll(HOP_BY_HOP);
        headers.stream()
                .filter(header -> header.name().equalsIgnoreCase("connection"))
                .forEach(
                        header ->
                                dropped.addAll(
                                        List.of(lower(header.value()).split("\\s*,\\s*", -1))));
        return headers.stream().filter(header -> !dropped.contains(lower(header.name()))).toList();
    }

    private static String lower(String text) {
        return text.toLowerCase(Locale.ROOT).strip();
    }
}
