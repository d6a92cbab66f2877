package org.siskinramp.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ContentFingerprintTest {

    private static final byte[] BODY = "close valve 9".getBytes(StandardCharsets.UTF_8);

    @Test
    void isTheSameForTheSameMethodTargetAndBody() {
        assertEquals(
                ContentFingerprint.of("POST", "/a/1?b=2", BODY),
                ContentFingerprint.of("POST", "/a/1?b=2", BODY.clone()));
        assertEquals(32, ContentFingerprint.of("GET", "/", new byte[0]).length());
    }

    @Test
    void differsWithEachOfThem() {
        String fingerprint = ContentFingerprint.of("POST", "/a/1?b=2", BODY);
        assertNotEquals(fingerprint, ContentFingerprint.of("PUT", "/a/1?b=2", BODY));
        assertNotEquals(fingerprint, ContentFingerprint.of("POST", "/a/1?b=3", BODY));
        assertNotEquals(fingerprint, ContentFingerprint.of("POST", "/a/1?b=2", new byte[0]));
    }

    /** A target must not run into the method, nor a body into the target. */
    @Test
    void keepsThePartsApart() {
        assertNotEquals(
                ContentFingerprint.of("GET", "/ab", new byte[0]),
                ContentFingerprint.of("GET", "/a", new byte[] {'b'}));
    }
}
