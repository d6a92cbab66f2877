package org.siskinramp.request;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import net.openhft.hashing.LongTupleHashFunction;

/**
 * Tells whether two requests of callers ask for the same work: method, target and body are equal.
 * It is fast and no proof against somebody who looks for two requests of one fingerprint, so it
 * suits decisions whose worst mistake is a refusal.
 */
public final class ContentFingerprint {

    private static final LongTupleHashFunction HASH = LongTupleHashFunction.xx128();
    private static final HexFormat HEX = HexFormat.of();
    private static final char SEPARATOR = '\n';

    private ContentFingerprint() {}

    /**
     * Computes a fingerprint.
     *
     * @param method the method
     * @param target the path with the query
     * @param body the whole body
     * @return 32 hexadecimal digits
     */
    public static String of(String method, String target, byte[] body) {
        String head = method + SEPARATOR + target + SEPARATOR + hex(HASH.hashBytes(body));
        return hex(HASH.hashBytes(head.getBytes(StandardCharsets.UTF_8)));
    }

    private static String hex(long[] hash) {
        return HEX.toHexDigits(hash[0]) + HEX.toHexDigits(hash[1]);
    }
}
