package org.siskinramp.standin.http;

import java.net.InetSocketAddress;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Parses and formats addresses of the form {@code ip:port}. */
public final class Addresses {

    private static final int MAXIMUM_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses a loopback address; stand-ins listen on and connect to loopback addresses only.
     *
     * @param text the address as {@code ip:port}
     * @return the address
     * @throws ResultException with {@link ResultCode#USAGE} if the text is not a loopback address
     */
    public static InetSocketAddress parseLoopback(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw invalidAddress(text);
        }
        InetSocketAddress address =
                new InetSocketAddress(text.substring(0, colon), port(text, colon));
        if (address.isUnresolved() || !address.getAddress().isLoopbackAddress()) {
            throw new ResultException(ResultCode.USAGE, "not a loopback address: " + text);
        }
        return address;
    }

    /**
     * Formats an address.
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
            if (port >= 0 && port <= MAXIMUM_PORT) {
                return port;
            }
        } catch (NumberFormatException failure) {
            throw invalidAddress(text);
        }
        throw invalidAddress(text);
    }

    private static ResultException invalidAddress(String text) {
        return new ResultException(ResultCode.USAGE, "not an address of the form ip:port: " + text);
    }
}
