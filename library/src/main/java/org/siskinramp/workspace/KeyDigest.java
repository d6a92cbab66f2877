package org.siskinramp.workspace;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Holds the digest of a workspace's key: the first 128 bits of its SHA-256 hash. Hosts keep and
 * exchange only digests, so that neither memory dumps nor messages reveal keys.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
public record KeyDigest(long high, long low) {

    private static final String ALGORITHM = "SHA-256";

    /**
     * Computes the digest of a key.
     *
     * @param key the key
     * @return its digest
     */
    public static KeyDigest of(String key) {
        try {
            byte[] hash =
                    MessageDigest.getInstance(ALGORITHM)
                            .digest(key.getBytes(StandardCharsets.UTF_8));
            ByteBuffer bytes = ByteBuffer.wrap(hash);
            return new KeyDigest(bytes.getLong(), bytes.getLong());
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(
                    ALGORITHM + " is part of every Java runtime", impossible);
        }
    }
}
