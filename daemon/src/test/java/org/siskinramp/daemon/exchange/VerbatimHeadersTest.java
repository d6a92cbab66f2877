package org.siskinramp.daemon.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinramp.request.Header;
import org.siskinramp.time.Clock;
import org.siskinramp.time.SystemClock;

/**
 * Guards against a header value that is replaced by one that differs in letter case: by that of an
 * earlier message of the connection, or of a table of common values. All requests to backend
 * servers and to the store pass through the exchanger.
 */
class VerbatimHeadersTest {

    private static final long DEADLINE_MILLISECONDS = 3_000;

    private final Clock clock = new SystemClock();
    private final HttpExchanger exchanger = TestExchanger.start(clock);
    private ScriptedServer server;

    @AfterEach
    void stop() throws IOException {
        exchanger.stop();
        server.close();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    Cache-Control    | no-cache                      | No-Cache
                    Cache-Control    | private="x-Notice"            | Private="X-Notice"
                    Content-Encoding | gzip                          | GZIP
                    Content-Type     | application/json              | Application/JSON
                    Content-Type     | text/html;charset=utf-8       | Text/HTML;Charset=UTF-8
                    ETag             | "a"                           | "A"
                    Expires          | Fri, 01 Jan 1990 00:00:00 GMT | FRI, 01 JAN 1990 00:00:00 gmt
                    Location         | /read/a                       | /read/A
                    Pragma           | no-cache                      | NO-CACHE
                    Server           | desk/1 (\u00e4)               | Desk/1 (\u00c4)
                    Set-Cookie       | session=a                     | session=A
                    """)
    void answersKeepTheirHeaderValues(String name, String first, String second) throws Exception {
        List<String> values = List.of(first, second, first);
        server =
                new ScriptedServer(
                        request ->
                                ScriptedServer.reply(
                                        "200 OK",
                                        "body",
                                        name + ": " + values.get(server.requests().size() - 1)));
        for (String value : values) {
            assertEquals(
                    List.of(new Header(name, value), new Header("Content-Length", "4")),
                    send(List.of()).headers());
        }
        assertEquals(1, server.connections());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    Authorization    | Bearer key-a              | Bearer KEY-A
                    Cookie           | session=a                 | session=A
                    Host             | shop.example              | Shop.Example
                    Accept           | text/x-notice             | Text/X-Notice
                    Accept-Encoding  | gzip                      | GZIP
                    Content-Type     | application/json          | Application/JSON
                    User-Agent       | agent/1.0 (\u00e4)        | Agent/1.0 (\u00c4)
                    """)
    void requestsKeepTheirHeaderValues(String name, String first, String second) throws Exception {
        server = new ScriptedServer(request -> ScriptedServer.reply("200 OK", ""));
        for (String value : List.of(first, second, first)) {
            Header host = new Header("Host", "h");
            Header header = new Header(name, value);
            send(name.equals("Host") ? List.of(header) : List.of(host, header));
        }
        assertEquals(
                List.of(List.of(first), List.of(second), List.of(first)),
                server.requests().stream().map(request -> values(request, name)).toList());
        assertEquals(1, server.connections());
    }

    private static List<String> values(String request, String name) {
        String start = name + ": ";
        return request.lines()
                .filter(line -> line.startsWith(start))
                .map(line -> line.substring(start.length()))
                .toList();
    }

    @Test
    void cookiesOfAnswersAreNotSentBack() throws Exception {
        server =
                new ScriptedServer(
                        request -> ScriptedServer.reply("200 OK", "", "Set-Cookie: session=a"));
        send(List.of());
        send(List.of());
        assertEquals(
                List.of(List.of(), List.of()),
                server.requests().stream().map(request -> values(request, "Cookie")).toList());
    }

    /** Guards against the length of an answer being missed where values are kept as received. */
    @ParameterizedTest
    @ValueSource(strings = {"chunked", "Chunked", "CHUNKED"})
    void theTransferCodingMayBeInAnyLetters(String coding) throws Exception {
        server =
                new ScriptedServer(
                        request ->
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                        + coding
                                        + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
        for (int sent = 0; sent < 2; sent++) {
            assertEquals("body", new String(send(List.of()).body(), StandardCharsets.UTF_8));
        }
        assertEquals(1, server.connections());
    }

    /** Guards against a connection that is used again although the server closes it. */
    @ParameterizedTest
    @ValueSource(strings = {"close", "Close", "CLOSE"})
    void aConnectionThatTheServerClosesIsNotUsedAgain(String option) throws Exception {
        server =
                new ScriptedServer(
                        request -> ScriptedServer.reply("200 OK", "", "Connection: " + option));
        send(List.of());
        send(List.of());
        assertEquals(2, server.connections());
    }

    private ExchangeAnswer send(List<Header> headers) {
        return exchanger
                .send(
                        ExchangeRequest.to(server.address())
                                .target("/read")
                                .headers(leftMilliseconds -> headers)
                                .deadlineMilliseconds(
                                        clock.monotonicMilliseconds() + DEADLINE_MILLISECONDS)
                                .idleLimitMilliseconds(DEADLINE_MILLISECONDS)
                                .build())
                .answer()
                .orTimeout(2 * DEADLINE_MILLISECONDS, TimeUnit.MILLISECONDS)
                .join();
    }
}
