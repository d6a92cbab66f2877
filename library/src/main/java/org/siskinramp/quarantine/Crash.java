package org.siskinramp.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import net.openhft.hashing.LongHashFunction;

/**
 * Describes the crash of a backend server while it ran a request.
 *
 * @param content the fingerprint of the request
 * @param route the name of its route, for operators
 * @param backendServer the server's name
 * @param startedMilliseconds the calendar time at which the crashed server process had started, as
 *     the server published it
 */
public record Crash(String content, String route, String backendServer, long startedMilliseconds) {

    private static final LongHashFunction HASH = LongHashFunction.xx();

    /**
     * Returns the key that identifies the crash: reports of the same content and the same server
     * process have equal keys.
     *
     * @return a text of 49 characters
     */
    public String key() {
        String start = startedMilliseconds + " " + backendServer;
        long hash = HASH.hashBytes(start.getBytes(StandardCharsets.UTF_8));
        return content + "/" + HexFormat.of().toHexDigits(hash);
    }
}
