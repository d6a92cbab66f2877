package org.siskinramp.address;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class NumericAddressTest {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "10.0.0.1:80",
                "0.0.0.0:1",
                "255.255.255.255:65535",
                "[::]:80",
                "[::1]:80",
                "[fd00::1]:80",
                "[fd00::]:80",
                "[1:2:3:4:5:6:7:8]:80",
                "[1:2:3:4:5:6:10.0.0.1]:80",
                "[::ffff:10.0.0.1]:80",
                "[1::3:4:5:6:7:8]:80"
            })
    void acceptsAddressesWithAPort(String text) {
        assertTrue(NumericAddress.isValid(text));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                ":",
                ":80",
                "10.0.0.1",
                "10.0.0.1:",
                "10.0.0.1:0",
                "10.0.0.1:65536",
                "10.0.0.1:99999999999",
                "10.0.0.1:+80",
                "10.0.0.1:080",
                "10.0.0.1:80 ",
                " 10.0.0.1:80",
                "10.0.0.1:80:80",
                "10.0.0:80",
                "10.0.0.1.1:80",
                "10.0.0.256:80",
                "127.0.0.300:9",
                "10.0.0.01:80",
                "10.0.0.-1:80",
                "10.0.0.:80",
                "http://127.0.0.1:9",
                "localhost:80",
                "a b:80",
                "user@10.0.0.1:80",
                "10.0.0.1/x:80",
                "::1:80",
                "[::1:80",
                "::1]:80",
                "[]:80",
                "[:]:80",
                "[:::]:80",
                "[1::2::3]:80",
                "[1:2:3:4:5:6:7]:80",
                "[1:2:3:4:5:6:7:8:9]:80",
                "[1:2:3:4:5:6:7::8]:80:",
                "[1:2:3:4::5:6:7:8]:80",
                "[10.0.0.1]:80",
                "[10.0.0.1::]:80",
                "[12345::]:80",
                "[g::]:80",
                "[fe80::1%eth0]:80"
            })
    void rejectsEverythingElse(String text) {
        assertFalse(NumericAddress.isValid(text));
    }
}
