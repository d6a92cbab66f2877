package org.siskinramp.daemon.http;

import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.server.HttpConfiguration;

/**
 * Makes Jetty's parser return header values as they were received.
 *
 * <p>By default, the parser looks up each value, without regard to letter case, among those of
 * earlier messages of the connection and in a table of common ones, and returns the one found. A
 * credential or a cookie can then be taken for another one that differs in case only.
 */
public final class VerbatimHeaders {

    /** A parser that remembers no values also saves the memory for them in each connection. */
    private static final int CACHE_SIZE_BYTES = 0;

    private VerbatimHeaders() {}

    /**
     * Sets up the connections of a server.
     *
     * @param configuration the configuration of the connections
     */
    public static void setUp(HttpConfiguration configuration) {
        configuration.setHeaderCacheSize(CACHE_SIZE_BYTES);
        configuration.setHeaderCacheCaseSensitive(true);
    }

    /**
     * Sets up the connections of a client.
     *
     * @param transport the transport of the client
     */
    public static void setUp(HttpClientTransportOverHTTP transport) {
        transport.setHeaderCacheSize(CACHE_SIZE_BYTES);
        transport.setHeaderCacheCaseSensitive(true);
    }

    /**
     * Sets up a single parser.
     *
     * @param parser the parser, which has parsed nothing yet
     */
    public static void setUp(HttpParser parser) {
        parser.setHeaderCacheSize(CACHE_SIZE_BYTES);
        parser.setHeaderCacheCaseSensitive(true);
    }
}
