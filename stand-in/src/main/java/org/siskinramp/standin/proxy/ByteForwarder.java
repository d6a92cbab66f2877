package org.siskinramp.standin.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Forwards the bytes of one direction of a connection, each chunk after a delay. Used only by the
 * forwarding thread of the proxy.
 */
final class ByteForwarder {

    private static final int CHUNK_BYTES = 16 * 1024;
    private static final int MAXIMUM_QUEUED_BYTES = 1024 * 1024;
    private static final long NOTHING_DUE = Long.MAX_VALUE;

    private final SocketChannel source;
    private final SocketChannel sink;
    private final Deque<Chunk> chunks = new ArrayDeque<>();
    private int queuedBytes;
    private long forwardedBytes;
    private boolean sourceEnded;
    private boolean sinkShutDown;

    ByteForwarder(SocketChannel source, SocketChannel sink) {
        this.source = source;
        this.sink = sink;
    }

    SocketChannel source() {
        return source;
    }

    boolean canRead() {
        return !sourceEnded && queuedBytes < MAXIMUM_QUEUED_BYTES;
    }

    boolean hasDueBytes(long nowMilliseconds) {
        return !chunks.isEmpty() && chunks.getFirst().dueMilliseconds <= nowMilliseconds;
    }

    boolean isFinished() {
        return sinkShutDown;
    }

    long forwardedBytes() {
        return forwardedBytes;
    }

    long nextDueMilliseconds() {
        return chunks.isEmpty() ? NOTHING_DUE : chunks.getFirst().dueMilliseconds;
    }

    /**
     * Reads up to one chunk that has arrived; bytes that are to be dropped are read and discarded.
     */
    void read(long dueMilliseconds, boolean dropped) throws IOException {
        ByteBuffer content = ByteBuffer.allocate(CHUNK_BYTES);
        int count = source.read(content);
        if (count < 0) {
            sourceEnded = true;
        } else if (count > 0 && !dropped) {
            content.flip();
            queuedBytes += count;
            chunks.addLast(new Chunk(content, dueMilliseconds));
        }
    }

    /** Writes the chunks that are due, up to a limit of bytes over the life of the connection. */
    void write(long nowMilliseconds, long limitBytes) throws IOException {
        while (hasDueBytes(nowMilliseconds) && forwardedBytes < limitBytes) {
            ByteBuffer content = chunks.getFirst().content;
            int end = content.limit();
            long allowed = Math.min(content.remaining(), limitBytes - forwardedBytes);
            content.limit(content.position() + (int) allowed);
            int count = sink.write(content);
            content.limit(end);
            forwardedBytes += count;
            queuedBytes -= count;
            if (content.hasRemaining()) {
                return;
            }
            chunks.removeFirst();
        }
        forwardEndOfStream();
    }

    private void forwardEndOfStream() throws IOException {
        if (sourceEnded && chunks.isEmpty() && !sinkShutDown) {
            sinkShutDown = true;
            sink.shutdownOutput();
        }
    }

    private record Chunk(ByteBuffer content, long dueMilliseconds) {}
}
