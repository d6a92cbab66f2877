package org.siskinramp.daemon.exchange;

import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/**
 * The address of a server.
 *
 * @param host the IP address
 * @param port the port, from 1 to 65,535
 */
record ServerAddress(String host, int port) {

    private static final int MAXIMUM_PORT = 65_535;

    /**
     * Parses an address.
     *
     * @param text the address, as {@code ip:port}
     * @return the address
     * @throws ResultException with {@code REQUEST_INVALID} if it is malformed
     */
    static ServerAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw invalid(text);
        }
        return new ServerAddress(text.substring(0, colon), parsePort(text, colon));
    }

    private static int parsePort(String text, int colon) {
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port >= 1 && port <= MAXIMUM_PORT) {
                return port;
            }
        } catch (NumberFormatException malformed) {
            throw invalid(text);
        }
        throw invalid(text);
    }

    private static ResultException invalid(String text) {
        return new ResultException(ResultCode.REQUEST_INVALID, "address=" + text);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
