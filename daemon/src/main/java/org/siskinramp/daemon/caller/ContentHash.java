package org.siskinramp.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes method, target and body; a retry of a request must have the same hash. */
final class ContentHash {

    private static final byte SEPARATOR = '\n';

    private ContentHash() {}

    static String of(String method, String target, byte[] body) {
        MessageDigest digest = newDigest();
        digest.update(method.getBytes(StandardCharsets.UTF_8));
        digest.update(SEPARATOR);
        digest.update(target.getBytes(StandardCharsets.UTF_8));
        digest.update(SEPARATOR);
        digest.update(body);
        return HexFormat.of().formatHex(digest.digest());
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
