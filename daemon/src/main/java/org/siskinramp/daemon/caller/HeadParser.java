package org.siskinramp.daemon.caller;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.siskinramp.daemon.http.VerbatimHeaders;

/** Parses request heads with the parser, the limit and the rules of the HTTP connection. */
final class HeadParser {

    private final int headerLimitBytes;

    HeadParser(int headerLimitBytes) {
        this.headerLimitBytes = headerLimitBytes;
    }

    int headerLimitBytes() {
        return headerLimitBytes;
    }

    /**
     * Parses the first head and moves the position of the buffer behind it.
     *
     * @return the head, or empty if it is incomplete or invalid
     */
    Optional<ParsedHead> parse(ByteBuffer bytes) {
        int start = bytes.position();
        Collector collector = new Collector();
        HttpParser parser = new HttpParser(collector, headerLimitBytes, HttpCompliance.RFC9110);
        VerbatimHeaders.setUp(parser);
        parser.parseNext(bytes);
        if (!collector.complete || collector.invalid) {
            return Optional.empty();
        }
        return Optional.of(
                new ParsedHead(
                        collector.method,
                        collector.target,
                        collector.version,
                        collector.headers.asImmutable(),
                        bytes.position() - start));
    }

    private static final class Collector implements HttpParser.RequestHandler {

        private final HttpFields.Mutable headers = HttpFields.build();
        private String method;
        private String target;
        private HttpVersion version;
        private boolean complete;
        private boolean invalid;

        @Override
        public void startRequest(String newMethod, String newTarget, HttpVersion newVersion) {
            method = newMethod;
            target = newTarget;
            version = newVersion;
        }

        @Override
        public void parsedHeader(HttpField field) {
            headers.add(field);
        }

        @Override
        public boolean headerComplete() {
            complete = true;
            return true;
        }

        @Override
        public boolean content(ByteBuffer content) {
            return true;
        }

        @Override
        public boolean contentComplete() {
            return true;
        }

        @Override
        public boolean messageComplete() {
            return true;
        }

        @Override
        public void earlyEOF() {
            invalid = true;
        }

        @Override
        public void badMessage(HttpException failure) {
            invalid = true;
        }
    }
}
