package org.siskinramp.daemon.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.PeerSender;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;

/**
 * Sends messages to other entry hosts and receives messages from them. One thread serves all
 * sockets.
 *
 * <pre>{@code
 * PeerLink link = new PeerLink(options, addresses, receiver, workers, clock, log, counters, traffic);
 * link.start();
 * link.send("entry-2", new ConfigurationNotice(7));
 * }</pre>
 */
public final class PeerLink implements PeerSender {

    private static final long DRAIN_TIMEOUT_MILLISECONDS = 1000;
    private static final int INBOUND_LINK_LIMIT = 512;

    private final PeerLinkOptions options;
    private final Function<String, Optional<String>> addresses;
    private final Clock clock;
    private final EventLog eventLog;
    private final Counters counters;
    private final PeerCodec codec;
    private final LinkReports reports;
    private final OrderedDelivery delivery;
    private final SplittableRandom random;
    private final Map<String, OutboundLink> outbound = new ConcurrentHashMap<>();
    private final List<InboundLink> inbound = new ArrayList<>();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final Selector selector;
    private final ServerSocketChannel listener;
    private final Thread thread;

    /**
     * Creates the peer link and binds its port; it must be started before use.
     *
     * @param options the address and the limits
     * @param addresses returns the {@code ip:port} of a host by its name
     * @param receiver accepts the name of the sender and the message, in order per sender
     * @param workers the threads that run the receiver
     * @param clock the source of time
     * @param eventLog logs opened and closed links and malformed frames
     * @param counters counts frames
     * @param traffic counts bytes by the type of message
     * @throws ResultException if the port cannot be bound
     */
    public PeerLink(
            PeerLinkOptions options,
            Function<String, Optional<String>> addresses,
            BiConsumer<String, PeerMessage> receiver,
            Executor workers,
            Clock clock,
            EventLog eventLog,
            Counters counters,
            PeerTrafficRecorder traffic) {
        this.options = options;
        this.addresses = addresses;
        this.clock = clock;
        this.eventLog = eventLog;
        this.counters = counters;
        this.codec = new PeerCodec(options.frameLimitBytes());
        this.reports = new LinkReports(eventLog, counters, traffic);
        this.delivery =
                new OrderedDelivery(
                        receiver, workers, options.queueLimitFrames(), eventLog, counters);
        this.random = new SplittableRandom(options.seed());
        try {
            this.selector = Selector.open();
            this.listener = listen();
        } catch (IOException failure) {
            throw new ResultException(
                    ResultCode.SETTINGS_INVALID,
                    "peer address " + options.host() + ":" + options.port(),
                    failure);
        }
        this.thread = new Thread(this::run, "peer");
    }

    private ServerSocketChannel listen() throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(new InetSocketAddress(options.host(), options.port()));
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_ACCEPT, (SelectionHandler) this::accept);
        return channel;
    }

    /** Starts the selector thread. */
    public void start() {
        thread.start();
    }

    /** Sends the frames queued for open links, within a timeout, and closes all links. */
    public void stop() {
        stopping.set(true);
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the port on which connections of peers are accepted.
     *
     * @return the port
     */
    public int port() {
        return listener.socket().getLocalPort();
    }

    @Override
    public void send(String host, PeerMessage message) {
        Frame frame;
        try {
            frame = codec.encode(message);
        } catch (ResultException tooLarge) {
            reports.framesDropped(host, 1, tooLarge.getMessage());
            return;
        }
        outbound.computeIfAbsent(host, this::newOutboundLink).offer(frame);
        selector.wakeup();
    }

    private OutboundLink newOutboundLink(String host) {
        Backoff backoff;
        synchronized (random) {
            backoff = new Backoff(random.split());
        }
        return new OutboundLink(host, options, codec, reports, addresses, selector, backoff);
    }

    private void run() {
        try {
            while (!stopping.get()) {
                select();
                advanceLinks();
            }
            drain();
        } catch (IOException failure) {
            counters.add(Counter.INVARIANT_VIOLATIONS);
            eventLog.record(LogEvent.named("peer_link_failed").with("cause", failure));
        } finally {
            closeAll();
        }
    }

    private void select() throws IOException {
        selector.select(options.selectTimeoutMilliseconds());
        long nowMilliseconds = clock.monotonicMilliseconds();
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.isValid()) {
                ((SelectionHandler) key.attachment()).onReady(key, nowMilliseconds);
            }
        }
        selector.selectedKeys().clear();
    }

    private void advanceLinks() {
        long nowMilliseconds = clock.monotonicMilliseconds();
        outbound.values().forEach(link -> link.advance(nowMilliseconds));
        inbound.forEach(link -> link.advance(nowMilliseconds));
        inbound.removeIf(link -> !link.isOpen());
    }

    private void accept(SelectionKey key, long nowMilliseconds) throws IOException {
        SocketChannel channel = listener.accept();
        if (channel == null) {
            return;
        }
        if (inbound.size() >= INBOUND_LINK_LIMIT) {
            Channels.closeQuietly(channel);
            return;
        }
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        InboundLink link =
                new InboundLink(channel, options, codec, reports, delivery, nowMilliseconds);
        channel.register(selector, SelectionKey.OP_READ, link);
        inbound.add(link);
    }

    private void drain() throws IOException {
        long deadlineMilliseconds = clock.monotonicMilliseconds() + DRAIN_TIMEOUT_MILLISECONDS;
        while (clock.monotonicMilliseconds() < deadlineMilliseconds
                && !outbound.values().stream().allMatch(OutboundLink::isDrained)) {
            select();
            advanceLinks();
        }
        long nowMilliseconds = clock.monotonicMilliseconds();
        outbound.values().forEach(link -> link.shutDownOutput(nowMilliseconds));
        while (clock.monotonicMilliseconds() < deadlineMilliseconds
                && outbound.values().stream().anyMatch(OutboundLink::isOpen)) {
            select();
        }
    }

    private void closeAll() {
        long nowMilliseconds = clock.monotonicMilliseconds();
        outbound.values().forEach(link -> link.close("stopping", nowMilliseconds));
        inbound.forEach(link -> link.close("stopping"));
        Channels.closeQuietly(listener);
        Channels.closeQuietly(selector);
    }
}
