package org.siskinramp.daemon.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Holds what a caller has sent on a connection and the HTTP connection has not read, and hands it
 * over one request at a time. Guarded by the lock of the connection.
 */
final class ConnectionInput {

    private static final int END_OF_INPUT = -1;

    private final ReadAheadBuffer buffer;
    private final RequestBoundary boundary;
    private boolean ended;

    ConnectionInput(BodyMemoryBudget memoryBudget, HeadParser parser) {
        this.buffer = new ReadAheadBuffer(memoryBudget);
        this.boundary = new RequestBoundary(parser);
    }

    /** Tells whether the caller has closed its sending side. */
    boolean isEnded() {
        return ended;
    }

    /** Tells whether bytes were discarded, so that nothing can be read after them. */
    boolean isOverflowed() {
        return buffer.isOverflowed();
    }

    boolean hasBufferedBytes() {
        return buffer.hasRemaining();
    }

    /** Tells whether the HTTP connection can read bytes, or the end, without waiting. */
    boolean isReadable() {
        return buffer.hasRemaining() || buffer.isOverflowed() || ended;
    }

    /** Tells whether the HTTP connection has read nothing behind a request without a body. */
    boolean isAtEndOfRequest() {
        return boundary.isExact();
    }

    /** Returns a copy of the buffered bytes after some that are skipped. */
    ByteBuffer copyFrom(int skippedBytes) {
        return buffer.copyFrom(skippedBytes);
    }

    /** Buffers bytes that have arrived, and notes an end; returns whether there were bytes. */
    boolean readAhead(ReadAheadBuffer.Source source) {
        try {
            int read = ended ? END_OF_INPUT : buffer.addFrom(source);
            ended = read < 0;
            return read > 0;
        } catch (IOException failure) {
            ended = true;
            return false;
        }
    }

    /**
     * Hands over bytes to the HTTP connection, no further than the end of a request without a body.
     *
     * @param startsRequest whether the HTTP connection has read nothing of its next request
     * @return the number of bytes, or a negative number at the end of the input
     */
    int fill(ByteBuffer target, ReadAheadBuffer.Source source, boolean startsRequest)
            throws IOException {
        if (buffer.hasRemaining()) {
            ByteBuffer next = buffer.peek();
            next.limit(next.position() + Math.min(next.remaining(), BufferUtil.space(target)));
            return buffer.moveTo(target, boundary.find(next, startsRequest));
        }
        if (ended || buffer.isOverflowed()) {
            return END_OF_INPUT;
        }
        int read = source.fill(target);
        return read > 0 ? cutBehindRequest(target, read, startsRequest) : read;
    }

    /** Takes back what was received behind the request that the HTTP connection reads. */
    private int cutBehindRequest(ByteBuffer target, int read, boolean startsRequest) {
        int start = target.limit() - read;
        int count = boundary.find(target.duplicate().position(start), startsRequest);
        if (count == read) {
            return read;
        }
        if (!buffer.takeBack(target.duplicate().position(start + count))) {
            boundary.giveUp();
            return read;
        }
        target.limit(start + count);
        return count;
    }

    /** Drops all bytes. */
    void clear() {
        buffer.clear();
    }
}
