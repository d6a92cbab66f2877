package org.siskinramp.request;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import net.openhft.hashing.LongTupleHashFunction;

/**
 * Computes a fingerprint of the method, target and body of a request, to tell whether two requests
 * are equal. The hash is fast but not cryptographic: an attacker can construct two requests with
 * the same fingerprint. Use it only for decisions whose worst error is a refused request.
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
     * @param body the complete body
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
