package org.siskinramp.ticket;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads addresses of the form {@code ip:port}, without looking up names. */
final class Addresses {

    private static final int GREATEST_PORT = 65_535;
    private static final Pattern ADDRESS =
            Pattern.compile("([0-9.]{7,15}|\\[[0-9a-fA-F:.]{2,45}\\]):([1-9][0-9]{0,4})");
    private static final Pattern VERSION_FOUR =
            Pattern.compile("((25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)(\\.(?!$)|$)){4}");

    private Addresses() {}

    /**
     * Returns the one form of an address that equal addresses share.
     *
     * @return the address, or empty if it is malformed
     */
    static Optional<String> normalise(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > GREATEST_PORT) {
            return Optional.empty();
        }
        String port = ":" + matcher.group(2);
        String number = matcher.group(1);
        if (!number.startsWith("[")) {
            return VERSION_FOUR.matcher(number).matches()
                    ? Optional.of(number + port)
                    : Optional.empty();
        }
        return versionSix(number).map(normal -> normal + port);
    }

    private static Optional<String> versionSix(String bracketed) {
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
