package org.siskinramp.ticket;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Validates and normalises addresses of the form {@code ip:port}, without DNS look-ups. */
final class Addresses {

    private static final int MAXIMUM_PORT = 65_535;
    private static final Pattern ADDRESS =
            Pattern.compile("([0-9.]{7,15}|\\[[0-9a-fA-F:.]{2,45}\\]):([1-9][0-9]{0,4})");
    private static final Pattern IPV4 =
            Pattern.compile("((25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)(\\.(?!$)|$)){4}");

    private Addresses() {}

    /**
     * Returns the canonical form of an address, so that equal addresses are equal strings.
     *
     * @param text the address as written in a ticket
     * @return the canonical form, or empty if the address is malformed
     */
    static Optional<String> normalise(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAXIMUM_PORT) {
            return Optional.empty();
        }
        String port = ":" + matcher.group(2);
        String ipAddress = matcher.group(1);
        if (!ipAddress.startsWith("[")) {
            return IPV4.matcher(ipAddress).matches()
                    ? Optional.of(ipAddress + port)
                    : Optional.empty();
        }
        return normaliseIpv6(ipAddress).map(normal -> normal + port);
    }

    private static Optional<String> normaliseIpv6(String bracketed) {
        if (!bracketed.contains(":")) {
            return Optional.empty();
        }
        try {
            String normal = InetAddress.getByName(bracketed).getHostAddress();
            return Optional.of(normal.contains(":") ? "[" + normal + "]" : normal);
        } catch (UnknownHostException failure) {
            return Optional.empty();
        }
    }
}
