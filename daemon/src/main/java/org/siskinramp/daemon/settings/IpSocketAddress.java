package org.siskinramp.daemon.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses socket addresses of the form {@code ip:port}, without DNS look-ups. */
final class IpSocketAddress {

    private static final int MAXIMUM_PORT = 65_535;
    private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
    private static final Pattern ADDRESS =
            Pattern.compile(
                    "((?:" + OCTET + "\\.){3}" + OCTET + "|\\[[0-9A-Fa-f:.]+\\]):(\\d{1,5})");

    private IpSocketAddress() {}

    static Optional<InetSocketAddress> parse(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAXIMUM_PORT) {
            return Optional.empty();
        }
        try {
            InetAddress address = InetAddress.getByName(matcher.group(1));
            return Optional.of(new InetSocketAddress(address, Integer.parseInt(matcher.group(2))));
        } catch (UnknownHostException failure) {
            return Optional.empty();
        }
    }
}
