package org.siskinramp.daemon.peer;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Reads the frames of one peer and answers with receipts, on the selector's thread. */
final class InboundLink implements LinkEnd {

    static final long RECEIPT_INTERVAL_MILLISECONDS = 500;

    private static final long HELLO_TIMEOUT_MILLISECONDS = 2000;
    private static final long IDLE_TIMEOUT_MILLISECONDS = 30_000;
    private static final String DIRECTION = "in";

    private final SocketChannel channel;
    private final PeerLinkOptions options;
    private final PeerCodec codec;
    private final LinkReports reports;
    private final OrderedDelivery delivery;
    private final FrameReader reader;
    private final ByteBuffer input = ByteBuffer.allocate(16 * 1024);
    private String peer;
    private long lastReadMilliseconds;
    private long nextReceiptMilliseconds;
    private long frames;
    private long framesReceipted;
    private boolean open = true;

    InboundLink(
            SocketChannel channel,
            PeerLinkOptions options,
            PeerCodec codec,
            LinkReports reports,
            OrderedDelivery delivery,
            long nowMilliseconds) {
        this.channel = channel;
        this.options = options;
        this.codec = codec;
        this.reports = reports;
        this.delivery = delivery;
        this.reader = new FrameReader(options.frameLimitBytes());
        this.lastReadMilliseconds = nowMilliseconds;
        this.nextReceiptMilliseconds = nowMilliseconds;
    }

    boolean isOpen() {
        return open;
    }

    /** Sends a receipt or closes the link if it is time. */
    void progress(long nowMilliseconds) {
        long limit = peer == null ? HELLO_TIMEOUT_MILLISECONDS : IDLE_TIMEOUT_MILLISECONDS;
        if (nowMilliseconds - lastReadMilliseconds > limit) {
            close("idle");
        } else if (frames > framesReceipted && nowMilliseconds >= nextReceiptMilliseconds) {
            sendReceipt(nowMilliseconds);
        }
    }

    private void sendReceipt(long nowMilliseconds) {
        Frame receipt = codec.encode(new Receipt(frames));
        ByteBuffer bytes = ByteBuffer.wrap(receipt.bytes());
        try {
            channel.write(bytes);
        } catch (IOException failure) {
            close(failure);
            return;
        }
        if (bytes.hasRemaining()) {
            close("receipt_blocked");
            return;
        }
        reports.sent(receipt);
        framesReceipted = frames;
        nextReceiptMilliseconds = nowMilliseconds + RECEIPT_INTERVAL_MILLISECONDS;
    }

    @Override
    public void ready(SelectionKey key, long nowMilliseconds) {
        try {
            read(nowMilliseconds);
        } catch (ResultException malformed) {
            reports.invalid(peer == null ? "unknown" : peer, malformed);
            close("frame_invalid");
        } catch (IOException end) {
            close(end);
        }
    }

    private void read(long nowMilliseconds) throws IOException {
        input.clear();
        if (channel.read(input) < 0) {
            throw new EOFException("closed by the peer");
        }
        lastReadMilliseconds = nowMilliseconds;
        for (byte[] frame : reader.read(input.flip())) {
            frames++;
            receive(frame);
        }
        progress(nowMilliseconds);
    }

    private void receive(byte[] frame) {
        Optional<PeerMessage> message = codec.decode(frame);
        if (message.isEmpty()) {
            reports.unknown();
            return;
        }
        reports.received(PeerCodec.nameOf(message.get()), PeerCodec.LENGTH_BYTES + frame.length);
        if (peer == null) {
            introduce(message.get());
        } else {
            accept(message.get());
        }
    }

    private void introduce(PeerMessage first) {
        if (!(first instanceof Hello hello)) {
            throw new ResultException(ResultCode.FRAME_INVALID, "the first frame names no sender");
        }
        if (!hello.isFor(options.hostName())) {
            throw new ResultException(
                    ResultCode.FRAME_INVALID, "meant for host " + hello.receiver());
        }
        peer = hello.sender();
        reports.opened(peer, DIRECTION);
    }

    private void accept(PeerMessage message) {
        if (message instanceof Hello || message instanceof Receipt) {
            throw new ResultException(
                    ResultCode.FRAME_INVALID, "unexpected " + PeerCodec.nameOf(message));
        }
        delivery.deliver(peer, message);
    }

    void close(Object reason) {
        if (!open) {
            return;
        }
        open = false;
        reports.closed(peer == null ? "unknown" : peer, DIRECTION, reason);
        Channels.closeQuietly(channel);
    }
}
