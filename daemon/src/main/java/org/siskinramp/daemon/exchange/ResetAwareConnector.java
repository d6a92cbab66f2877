package org.siskinramp.daemon.exchange;

import java.io.IOException;
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
 * Opens connections on which a TCP reset is a failure. By default, Jetty reads a reset as the end
 * of the stream, so that a truncated answer without a length would look complete.
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
        return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
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
