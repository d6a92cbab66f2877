package org.siskinramp.daemon.exchange;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Opens connections on which a TCP reset is a failure, and which are closed by a reset.
 *
 * <p>By default, Jetty reads a reset as the end of the stream, so that a truncated answer without a
 * length would look complete. It also closes connections in order, so that the network delivers the
 * rest of a cancelled request whenever it can; a reset discards these bytes. No other exchange
 * loses anything, since a connection is closed only after a complete answer or a failure.
 */
final class ResetAwareConnector extends ClientConnector {

    /**
     * No connection uses TLS, and loading the trust store takes a fifth of the start of a process.
     */
    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return new UnusedSslContextFactory();
    }

    @Override
    protected EndPoint newEndPoint(
            SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        SocketChannel socket = (SocketChannel) channel;
        discardUnsentBytesOnClose(socket);
        return new ResetAwareEndPoint(socket, selector, key, getScheduler());
    }

    private static void discardUnsentBytesOnClose(SocketChannel socket) {
        try {
            socket.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot set SO_LINGER", failure);
        }
    }

    private static final class UnusedSslContextFactory extends SslContextFactory.Client {

        @Override
        protected void doStart() {
            // Skips loading the trust store.
        }
    }

    private static final class ResetAwareEndPoint extends SocketChannelEndPoint {

        private static final int END_OF_STREAM = -1;

        private ResetAwareEndPoint(
                SocketChannel channel,
                ManagedSelector selector,
                SelectionKey key,
                Scheduler scheduler) {
            super(channel, selector, key, scheduler);
        }

        /** Skips the half-close before the close, which would announce an orderly end. */
        @Override
        protected void doShutdownOutput() {}

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            if (isInputShutdown()) {
                return END_OF_STREAM;
            }
            int position = BufferUtil.flipToFill(buffer);
            int filled;
            try {
                filled = getChannel().read(buffer);
            } finally {
                BufferUtil.flipToFlush(buffer, position);
            }
            if (filled > 0) {
                notIdle();
            } else if (filled == END_OF_STREAM) {
                shutdownInput();
            }
            return filled;
        }
    }
}
