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
 * Opens connections on which a reset is a failure. By default it reads as the end of the stream,
 * which would make an answer without a length look whole.
 */
final class StrictConnector extends ClientConnector {

    /**
     * No address here needs TLS, and to load its trust store takes a fifth of a process's start.
     */
    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return new UnusedSslContextFactory();
    }

    @Override
    protected EndPoint newEndPoint(
            SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new StrictEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    private static final class UnusedSslContextFactory extends SslContextFactory.Client {

        @Override
        protected void doStart() {
            // Nothing is loaded.
        }
    }

    private static final class StrictEndPoint extends SocketChannelEndPoint {

        private static final int END = -1;

        private StrictEndPoint(
                SocketChannel channel,
                ManagedSelector selector,
                SelectionKey key,
                Scheduler scheduler) {
            super(channel, selector, key, scheduler);
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            if (isInputShutdown()) {
                return END;
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
            } else if (filled == END) {
                shutdownInput();
            }
            return filled;
        }
    }
}
