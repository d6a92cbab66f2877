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

/** Reads the frames of one peer and acknowledges them with receipts, on the selector thread. */
final class InboundLink implements SelectionHandler {

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
    private long framesReceived;
    private long framesAcknowledged;
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

    /** Closes the link if it is idle, or sends a receipt if one is due. */
    void advance(long nowMilliseconds) {
        long timeoutMilliseconds =
                peer == null ? HELLO_TIMEOUT_MILLISECONDS : IDLE_TIMEOUT_MILLISECONDS;
        if (nowMilliseconds - lastReadMilliseconds > timeoutMilliseconds) {
            close("idle");
        } else if (framesReceived > framesAcknowledged
                && nowMilliseconds >= nextReceiptMilliseconds) {
            sendReceipt(nowMilliseconds);
        }
    }

    private void sendReceipt(long nowMilliseconds) {
        Frame receipt = codec.encode(new Receipt(framesReceived));
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
        reports.frameSent(receipt);
        framesAcknowledged = framesReceived;
        nextReceiptMilliseconds = nowMilliseconds + RECEIPT_INTERVAL_MILLISECONDS;
    }

    @Override
    public void onReady(SelectionKey key, long nowMilliseconds) {
        try {
            read(nowMilliseconds);
        } catch (ResultException malformed) {
            reports.frameInvalid(peer == null ? "unknown" : peer, malformed);
            close("frame_invalid");
        } catch (IOException readFailure) {
            close(readFailure);
        }
    }

    private void read(long nowMilliseconds) throws IOException {
        input.clear();
        if (channel.read(input) < 0) {
            throw new EOFException("closed by the peer");
        }
        lastReadMilliseconds = nowMilliseconds;
        for (byte[] frame : reader.read(input.flip())) {
            framesReceived++;
            receive(frame);
        }
        advance(nowMilliseconds);
    }

    private void receive(byte[] frame) {
        Optional<PeerMessage> message = codec.decode(frame);
        if (message.isEmpty()) {
            reports.messageTypeUnknown();
            return;
        }
        reports.frameReceived(
                PeerCodec.nameOf(message.get()), PeerCodec.LENGTH_FIELD_BYTES + frame.length);
        if (peer == null) {
            acceptHello(message.get());
        } else {
            deliverMessage(message.get());
        }
    }

    private void acceptHello(PeerMessage first) {
        if (!(first instanceof Hello hello)) {
            throw new ResultException(
                    ResultCode.FRAME_INVALID, "the first message is not a Hello message");
        }
        if (!hello.isFor(options.hostName())) {
            throw new ResultException(
                    ResultCode.FRAME_INVALID, "link is addressed to host " + hello.receiver());
        }
        peer = hello.sender();
        reports.linkOpened(peer, DIRECTION);
    }

    private void deliverMessage(PeerMessage message) {
        if (message instanceof Hello || message instanceof Receipt) {
            throw new ResultException(
                    ResultCode.FRAME_INVALID,
                    "unexpected message type on an inbound link: " + PeerCodec.nameOf(message));
        }
        delivery.deliver(peer, message);
    }

    void close(Object reason) {
        if (!open) {
            return;
        }
        open = false;
        reports.linkClosed(peer == null ? "unknown" : peer, DIRECTION, reason);
        Channels.closeQuietly(channel);
    }
}
