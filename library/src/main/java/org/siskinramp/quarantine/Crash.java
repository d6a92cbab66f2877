package org.siskinramp.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import net.openhft.hashing.LongHashFunction;

/**
 * Tells that a backend server ended while it ran a request.
 *
 * @param content the fingerprint of the request
 * @param route the name of its route, for people
 * @param backendServer the server's name
 * @param bornMilliseconds the calendar time of the start that ended, as the server published it
 */
public record Crash(String content, String route, String backendServer, long bornMilliseconds) {

    private static final LongHashFunction HASH = LongHashFunction.xx();

    /**
     * Returns what makes two reports the same: the content and the start of the server.
     *
     * @return a text of 49 characters
     */
    public String key() {
        String start = bornMilliseconds + " " + backendServer;
        long hash = HASH.hashBytes(start.getBytes(StandardCharsets.UTF_8));
        return content + "/" + HexFormat.of().toHexDigits(hash);
    }
}
