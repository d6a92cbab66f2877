package org.siskinramp.daemon.peer;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.function.Function;
import org.siskinramp.peer.SeedName;
import org.siskinramp.result.ResultException;

/**
 * Sends frames to one peer and reads its receipts. All methods except {@link #offer} run on the
 * selector thread.
 */
final class OutboundLink implements SelectionHandler {

    private static final long CONNECT_TIMEOUT_MILLISECONDS = 1000;

    private final String peer;
    private final PeerLinkOptions options;
    private final PeerCodec codec;
    private final LinkReports reports;
    private final Function<String, Optional<String>> addresses;
    private final Selector selector;
    private final Backoff backoff;
    private final OutboundLinkLog linkLog;
    private final SendQueue queue;
    private final ByteBuffer output;
    private final ByteBuffer input = ByteBuffer.allocate(1024);
    private SocketChannel channel;
    private FrameReader reader;
    private boolean connected;
    private long connectStartedMilliseconds;
    private long nextConnectMilliseconds = Long.MIN_VALUE;
    private long unacknowledgedSinceMilliseconds = Long.MAX_VALUE;

    OutboundLink(
            String peer,
            PeerLinkOptions options,
            PeerCodec codec,
            LinkReports reports,
            Function<String, Optional<String>> addresses,
            Selector selector,
            Backoff backoff) {
        this.peer = peer;
        this.options = options;
        this.codec = codec;
        this.reports = reports;
        this.addresses = addresses;
        this.selector = selector;
        this.backoff = backoff;
        this.linkLog = new OutboundLinkLog(peer, reports);
        this.queue = new SendQueue(options.queueLimitFrames());
        this.output =
                ByteBuffer.allocate(PeerCodec.LENGTH_FIELD_BYTES + options.frameLimitBytes())
                        .flip();
    }

    /** Queues a frame; may be called from any thread. */
    void offer(Frame frame) {
        reports.framesDropped(peer, queue.add(frame), "queue_full");
    }

    boolean isDrained() {
        return channel == null || (queue.isEmpty() && !output.hasRemaining());
    }

    boolean isOpen() {
        return channel != null;
    }

    /** Connects if frames are queued, writes queued frames, and closes the link after a timeout. */
    void advance(long nowMilliseconds) {
        if (channel == null) {
            if (!queue.isEmpty() && nowMilliseconds >= nextConnectMilliseconds) {
                openConnection(nowMilliseconds);
            }
        } else if (!connected) {
            if (nowMilliseconds - connectStartedMilliseconds > CONNECT_TIMEOUT_MILLISECONDS) {
                close("connect_timeout", nowMilliseconds);
            }
        } else if (isReceiptOverdue(nowMilliseconds)) {
            reports.linkStoppedResponding();
            close("silent", nowMilliseconds);
        } else {
            tryWrite(nowMilliseconds);
        }
    }

    private boolean isReceiptOverdue(long nowMilliseconds) {
        return unacknowledgedSinceMilliseconds != Long.MAX_VALUE
                && nowMilliseconds - unacknowledgedSinceMilliseconds
                        > options.receiptTimeoutMilliseconds();
    }

    private void openConnection(long nowMilliseconds) {
        Optional<InetSocketAddress> address =
                addresses.apply(peer).flatMap(OutboundLink::parseAddress);
        if (address.isEmpty()) {
            reports.framesDropped(peer, queue.clear(), "address_unknown");
            return;
        }
        connectStartedMilliseconds = nowMilliseconds;
        reader = new FrameReader(options.frameLimitBytes());
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            SelectionKey key = channel.register(selector, SelectionKey.OP_CONNECT, this);
            if (channel.connect(address.get())) {
                onConnected(key, nowMilliseconds);
            }
        } catch (IOException failure) {
            close(failure, nowMilliseconds);
        }
    }

    private static Optional<InetSocketAddress> parseAddress(String address) {
        int colon = address.lastIndexOf(':');
        try {
            return Optional.of(
                    new InetSocketAddress(
                            address.substring(0, Math.max(0, colon)),
                            Integer.parseInt(address.substring(colon + 1))));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private void onConnected(SelectionKey key, long nowMilliseconds) throws IOException {
        connected = true;
        key.interestOps(SelectionKey.OP_READ);
        String receiver = SeedName.address(peer).isPresent() ? Hello.ANY_HOST : peer;
        Frame hello = codec.encode(new Hello(options.hostName(), options.incarnation(), receiver));
        output.clear();
        output.put(hello.bytes()).flip();
        reports.frameSent(hello);
        write(nowMilliseconds);
    }

    @Override
    public void onReady(SelectionKey key, long nowMilliseconds) {
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                onConnected(key, nowMilliseconds);
                return;
            }
            if (key.isReadable()) {
                read();
            }
            if (key.isWritable()) {
                write(nowMilliseconds);
            }
        } catch (ResultException malformed) {
            reports.frameInvalid(peer, malformed);
            close("frame_invalid", nowMilliseconds);
        } catch (IOException failure) {
            close(failure, nowMilliseconds);
        }
    }

    private void read() throws IOException {
        input.clear();
        if (channel.read(input) < 0) {
            throw new EOFException("closed by the peer");
        }
        for (byte[] frame : reader.read(input.flip())) {
            if (codec.decode(frame).orElse(null) instanceof Receipt) {
                reports.frameReceived("Receipt", PeerCodec.LENGTH_FIELD_BYTES + frame.length);
            } else {
                reports.messageTypeUnknown();
            }
            unacknowledgedSinceMilliseconds = Long.MAX_VALUE;
            backoff.reset();
            linkLog.recordReceipt();
        }
    }

    private void tryWrite(long nowMilliseconds) {
        try {
            write(nowMilliseconds);
        } catch (IOException failure) {
            close(failure, nowMilliseconds);
        }
    }

    private void write(long nowMilliseconds) throws IOException {
        fillOutput();
        while (output.hasRemaining()) {
            if (unacknowledgedSinceMilliseconds == Long.MAX_VALUE) {
                unacknowledgedSinceMilliseconds = nowMilliseconds;
            }
            if (channel.write(output) == 0) {
                break;
            }
            fillOutput();
        }
        channel.keyFor(selector)
                .interestOps(
                        output.hasRemaining()
                                ? SelectionKey.OP_READ | SelectionKey.OP_WRITE
                                : SelectionKey.OP_READ);
    }

    private void fillOutput() {
        output.compact();
        for (Frame frame = queue.pollFitting(output);
                frame != null;
                frame = queue.pollFitting(output)) {
            output.put(frame.bytes());
            reports.frameSent(frame);
        }
        output.flip();
    }

    /**
     * Shuts down the output, so that the peer reads all sent frames before the end of the stream.
     */
    void shutDownOutput(long nowMilliseconds) {
        try {
            if (connected) {
                channel.shutdownOutput();
            }
        } catch (IOException failure) {
            close(failure, nowMilliseconds);
        }
    }

    /** Closes the link; it may be reopened after the backoff delay. */
    void close(Object reason, long nowMilliseconds) {
        if (channel == null) {
            return;
        }
        linkLog.recordFailure(reason);
        Channels.closeQuietly(channel);
        channel = null;
        connected = false;
        output.clear().flip();
        unacknowledgedSinceMilliseconds = Long.MAX_VALUE;
        nextConnectMilliseconds = nowMilliseconds + backoff.nextDelayMilliseconds();
    }
}
