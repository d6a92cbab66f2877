package org.siskinramp.standin.http;

import java.net.InetSocketAddress;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Reads and writes addresses of the form {@code ip:port}. */
public final class Addresses {

    private static final int GREATEST_PORT = 65_535;

    private Addresses() {}

    /**
     * Reads a loopback address; stand-ins neither listen nor send elsewhere.
     *
     * @param text the address as {@code ip:port}
     * @return the address
     * @throws ResultException with {@link ResultCode#USAGE} if the text is no loopback address
     */
    public static InetSocketAddress parseLoopback(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw notAnAddress(text);
        }
        InetSocketAddress address =
                new InetSocketAddress(text.substring(0, colon), port(text, colon));
        if (address.isUnresolved() || !address.getAddress().isLoopbackAddress()) {
            throw new ResultException(ResultCode.USAGE, "not a loopback address: " + text);
        }
        return address;
    }

    /**
     * Writes an address.
     *
     * @param address the address
     * @return the address as {@code ip:port}
     */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static int port(String text, int colon) {
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port >= 0 && port <= GREATEST_PORT) {
                return port;
            }
        } catch (NumberFormatException failure) {
            throw notAnAddress(text);
        }
        throw notAnAddress(text);
    }

    private static ResultException notAnAddress(String text) {
        return new ResultException(ResultCode.USAGE, "not an address of the form ip:port: " + text);
    }
}
