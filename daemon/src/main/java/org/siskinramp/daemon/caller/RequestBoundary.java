package org.siskinramp.daemon.caller;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

/**
 * Finds where a request without a body ends in what the HTTP connection is about to read. The HTTP
 * connection reads no further than that, since bytes that it holds cannot be looked at before the
 * request has been answered. Guarded by the lock of the connection.
 */
final class RequestBoundary {

    private static final byte[] NOTHING = {};

    private final HeadParser parser;
    private byte[] headStart = NOTHING;
    private boolean inHead;
    private boolean exact;

    RequestBoundary(HeadParser parser) {
        this.parser = parser;
    }

    /** Tells whether the HTTP connection has read up to the end of a head, and nothing behind. */
    boolean isExact() {
        return exact;
    }

    /** Notes that the HTTP connection reads all of the last bytes nevertheless. */
    void giveUp() {
        exact = false;
    }

    /**
     * Returns how many of the received bytes the HTTP connection may read. These are all bytes,
     * unless a request without a body ends among them and others follow it.
     *
     * @param received the bytes, whose position does not change
     * @param startsRequest whether the HTTP connection has read nothing of the request yet
     */
    int find(ByteBuffer received, boolean startsRequest) {
        if (startsRequest) {
            headStart = NOTHING;
            inHead = true;
        }
        int count = received.remaining();
        exact = false;
        if (!inHead) {
            return count;
        }
        byte[] head = Arrays.copyOf(headStart, headStart.length + count);
        received.get(received.position(), head, headStart.length, count);
        int end = endOfHead(head, Math.max(0, headStart.length - 3));
        if (end < 0) {
            inHead = head.length <= parser.headerLimitBytes();
            headStart = inHead ? head : NOTHING;
            return count;
        }
        int before = headStart.length;
        inHead = false;
        headStart = NOTHING;
        exact = end == head.length;
        if (exact || !mayStartRequest(head[end])) {
            return count;
        }
        Optional<ParsedHead> parsed =
                parser.parse(ByteBuffer.wrap(head))
                        .filter(found -> !found.hasBody() && found.lengthBytes() > before);
        exact = parsed.isPresent();
        return parsed.map(found -> found.lengthBytes() - before).orElse(count);
    }

    private static int endOfHead(byte[] bytes, int from) {
        for (int index = from; index + 3 < bytes.length; index++) {
            if (bytes[index] == '\r'
                    && bytes[index + 1] == '\n'
                    && bytes[index + 2] == '\r'
                    && bytes[index + 3] == '\n') {
                return index + 4;
            }
        }
        return -1;
    }

    /** Most bodies, such as JSON, start otherwise; what follows them need not be parsed. */
    private static boolean mayStartRequest(byte first) {
        return (first >= 'A' && first <= 'Z') || first == '\r';
    }
}
