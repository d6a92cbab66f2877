package org.siskinramp.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ContentFingerprintTest {

    private static final byte[] BODY = "close valve 9".getBytes(StandardCharsets.UTF_8);

    @Test
    void isEqualForEqualMethodTargetAndBody() {
        assertEquals(
                ContentFingerprint.of("POST", "/a/1?b=2", BODY),
                ContentFingerprint.of("POST", "/a/1?b=2", BODY.clone()));
        assertEquals(32, ContentFingerprint.of("GET", "/", new byte[0]).length());
    }

    @Test
    void dependsOnMethodTargetAndBody() {
        String fingerprint = ContentFingerprint.of("POST", "/a/1?b=2", BODY);
        assertNotEquals(fingerprint, ContentFingerprint.of("PUT", "/a/1?b=2", BODY));
        assertNotEquals(fingerprint, ContentFingerprint.of("POST", "/a/1?b=3", BODY));
        assertNotEquals(fingerprint, ContentFingerprint.of("POST", "/a/1?b=2", new byte[0]));
    }

    /** Moving a character from the target to the body must change the fingerprint. */
    @Test
    void separatesTargetAndBody() {
        assertNotEquals(
                ContentFingerprint.of("GET", "/ab", new byte[0]),
                ContentFingerprint.of("GET", "/a", new byte[] {'b'}));
    }
}
