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
 * Sends frames to one peer and reads its receipts. Everything but {@link #offer} runs on the
 * selector's thread.
 */
final class OutboundLink implements LinkEnd {

    private static final long CONNECT_TIMEOUT_MILLISECONDS = 1000;

    private final String peer;
    private final PeerLinkOptions options;
    private final PeerCodec codec;
    private final LinkReports reports;
    private final Function<String, Optional<String>> addresses;
    private final Selector selector;
    private final Backoff backoff;
    private final LinkHistory history;
    private final SendQueue queue;
    private final ByteBuffer output;
    private final ByteBuffer input = ByteBuffer.allocate(1024);
    private SocketChannel channel;
    private FrameReader reader;
    private boolean connected;
    private long openedMilliseconds;
    private long nextOpeningMilliseconds = Long.MIN_VALUE;
    private long unansweredSinceMilliseconds = Long.MAX_VALUE;

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
        this.history = new LinkHistory(peer, reports);
        this.queue = new SendQueue(options.queueLimitFrames());
        this.output =
                ByteBuffer.allocate(PeerCodec.LENGTH_BYTES + options.frameLimitBytes()).flip();
    }

    /** Adds a frame, from any thread. */
    void offer(Frame frame) {
        reports.dropped(peer, queue.add(frame), "queue_full");
    }

    boolean isDrained() {
        return channel == null || (queue.isEmpty() && !output.hasRemaining());
    }

    boolean isOpen() {
        return channel != null;
    }

    /** Opens, writes and closes the link as the time and the queue ask for. */
    void progress(long nowMilliseconds) {
        if (channel == null) {
            if (!queue.isEmpty() && nowMilliseconds >= nextOpeningMilliseconds) {
                open(nowMilliseconds);
            }
        } else if (!connected) {
            if (nowMilliseconds - openedMilliseconds > CONNECT_TIMEOUT_MILLISECONDS) {
                close("connect_timeout", nowMilliseconds);
            }
        } else if (isSilent(nowMilliseconds)) {
            reports.silent();
            close("silent", nowMilliseconds);
        } else {
            tryWrite(nowMilliseconds);
        }
    }

    private boolean isSilent(long nowMilliseconds) {
        return unansweredSinceMilliseconds != Long.MAX_VALUE
                && nowMilliseconds - unansweredSinceMilliseconds
                        > options.silenceLimitMilliseconds();
    }

    private void open(long nowMilliseconds) {
        Optional<InetSocketAddress> address = addresses.apply(peer).flatMap(OutboundLink::parse);
        if (address.isEmpty()) {
            reports.dropped(peer, queue.clear(), "address_unknown");
            return;
        }
        openedMilliseconds = nowMilliseconds;
        reader = new FrameReader(options.frameLimitBytes());
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            SelectionKey key = channel.register(selector, SelectionKey.OP_CONNECT, this);
            if (channel.connect(address.get())) {
                connected(key, nowMilliseconds);
            }
        } catch (IOException failure) {
            close(failure, nowMilliseconds);
        }
    }

    private static Optional<InetSocketAddress> parse(String address) {
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

    private void connected(SelectionKey key, long nowMilliseconds) throws IOException {
        connected = true;
        key.interestOps(SelectionKey.OP_READ);
        String receiver = SeedName.address(peer).isPresent() ? Hello.WHOEVER_LISTENS : peer;
        Frame hello = codec.encode(new Hello(options.hostName(), options.incarnation(), receiver));
        output.clear();
        output.put(hello.bytes()).flip();
        reports.sent(hello);
        write(nowMilliseconds);
    }

    @Override
    public void ready(SelectionKey key, long nowMilliseconds) {
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                connected(key, nowMilliseconds);
                return;
            }
            if (key.isReadable()) {
                read();
            }
            if (key.isWritable()) {
                write(nowMilliseconds);
            }
        } catch (ResultException malformed) {
            reports.invalid(peer, malformed);
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
                reports.received("Receipt", PeerCodec.LENGTH_BYTES + frame.length);
            } else {
                reports.unknown();
            }
            unansweredSinceMilliseconds = Long.MAX_VALUE;
            backoff.reset();
            history.answered();
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
        fill();
        while (output.hasRemaining()) {
            if (unansweredSinceMilliseconds == Long.MAX_VALUE) {
                unansweredSinceMilliseconds = nowMilliseconds;
            }
            if (channel.write(output) == 0) {
                break;
            }
            fill();
        }
        channel.keyFor(selector)
                .interestOps(
                        output.hasRemaining()
                                ? SelectionKey.OP_READ | SelectionKey.OP_WRITE
                                : SelectionKey.OP_READ);
    }

    private void fill() {
        output.compact();
        for (Frame frame = queue.pollFitting(output);
                frame != null;
                frame = queue.pollFitting(output)) {
            output.put(frame.bytes());
            reports.sent(frame);
        }
        output.flip();
    }

    /** Ends the sending side, so that the peer reads all that was sent before it sees the end. */
    void endOutput(long nowMilliseconds) {
        try {
            if (connected) {
                channel.shutdownOutput();
            }
        } catch (IOException failure) {
            close(failure, nowMilliseconds);
        }
    }

    /** Closes the link; it may be opened again after a delay. */
    void close(Object reason, long nowMilliseconds) {
        if (channel == null) {
            return;
        }
        history.failed(reason);
        Channels.closeQuietly(channel);
        channel = null;
        connected = false;
        output.clear().flip();
        unansweredSinceMilliseconds = Long.MAX_VALUE;
        nextOpeningMilliseconds = nowMilliseconds + backoff.next();
    }
}
