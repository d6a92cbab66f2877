package org.siskinramp.daemon.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.log.Counter;
import org.siskinramp.peer.ColdSighting;
import org.siskinramp.peer.ConfigurationNotice;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.SeedName;
import org.siskinramp.time.SystemClock;

class PeerLinkTest {

    private final Map<String, String> addresses = new ConcurrentHashMap<>();
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private final Map<Counter, Long> counts = new EnumMap<>(Counter.class);
    private final Map<String, Integer> sentBytes = new ConcurrentHashMap<>();
    private final Map<String, List<String>> outboundLogLines = new ConcurrentHashMap<>();
    private final ExecutorService workers = Executors.newFixedThreadPool(3);
    private final List<PeerLink> links = new ArrayList<>();

    @AfterEach
    void stop() {
        links.forEach(PeerLink::stop);
        workers.shutdownNow();
    }

    @Test
    void deliversMessagesInOrderWithTheNameOfTheSender() throws Exception {
        PeerLink first = start("entry-1", 0);
        start("entry-2", 0);
        for (int version = 1; version <= 100; version++) {
            first.send("entry-2", new ConfigurationNotice(version));
        }
        for (int version = 1; version <= 100; version++) {
            assertReceived("entry-2 from entry-1 ConfigurationNotice[version=" + version + "]");
        }
        assertEquals(900, sentBytes.get("ConfigurationNotice"));
    }

    @Test
    void sendsQueuedMessagesBeforeItStops() throws Exception {
        PeerLink first = start("entry-1", 0);
        start("entry-2", 0);
        first.send("entry-2", new ConfigurationNotice(1));
        assertReceived("entry-2 from entry-1 ConfigurationNotice[version=1]");
        first.send("entry-2", new ConfigurationNotice(2));
        first.stop();
        assertReceived("entry-2 from entry-1 ConfigurationNotice[version=2]");
    }

    @Test
    void reachesAnyHostAtTheAddressOfASeed() throws Exception {
        PeerLink first = start("entry-1", 0);
        PeerLink second = start("entry-2", 0);
        String seed = SeedName.of("127.0.0.1:" + second.port());
        addresses.put(seed, "127.0.0.1:" + second.port());
        first.send(seed, new ConfigurationNotice(1));
        assertReceived("entry-2 from entry-1 ConfigurationNotice[version=1]");
    }

    @Test
    void reopensTheLinkAfterThePeerRestarts() throws Exception {
        PeerLink first = start("entry-1", 0);
        PeerLink second = start("entry-2", 0);
        int port = second.port();
        first.send("entry-2", new ConfigurationNotice(1));
        assertReceived("entry-2 from entry-1 ConfigurationNotice[version=1]");
        second.stop();
        start("entry-2", port);
        awaitReceivedAfterSending(first);
    }

    @Test
    void reopensALinkThatReceivesNoReceipts() throws Exception {
        try (ServerSocket unresponsive =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            PeerLink first = start("entry-1", 0);
            addresses.put("entry-2", "127.0.0.1:" + unresponsive.getLocalPort());
            first.send("entry-2", new ConfigurationNotice(1));
            unresponsive.setSoTimeout(5000);
            try (Socket connection = unresponsive.accept()) {
                connection.setSoTimeout(5000);
                assertTrue(connection.getInputStream().readAllBytes().length > 0);
            }
            assertEquals(1, count(Counter.SILENT_CONNECTIONS));
            start("entry-2", 0);
            awaitReceivedAfterSending(first);
        }
    }

    @Test
    void logsALostLinkOnceDespiteRepeatedConnectionFailures() throws Exception {
        PeerLink first = start("entry-1", 0);
        PeerLink second = start("entry-2", 0);
        int port = second.port();
        first.send("entry-2", new ConfigurationNotice(1));
        assertReceived("entry-2 from entry-1 ConfigurationNotice[version=1]");
        second.stop();
        long deadlineNanoseconds = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (count(Counter.PEER_LINK_FAILURES) < 4 && System.nanoTime() < deadlineNanoseconds) {
            first.send("entry-2", new ConfigurationNotice(2));
            Thread.sleep(10);
        }
        assertTrue(count(Counter.PEER_LINK_FAILURES) >= 4);
        start("entry-2", port);
        awaitReceivedAfterSending(first);
        awaitLogLines("entry-1", 3);
        List<String> lines = List.copyOf(outboundLogLines.get("entry-1"));
        assertEquals(
                "event=peer_link_opened peer=entry-2 direction=out failures_before=0",
                lines.get(0));
        assertTrue(lines.get(1).startsWith("event=peer_link_closed peer=entry-2 direction=out"));
        assertTrue(lines.get(2).startsWith("event=peer_link_opened peer=entry-2 direction=out"));
        assertTrue(lines.get(2).matches(".* failures_before=([4-9]|[1-9][0-9]+)"));
    }

    @Test
    void closesALinkThatSendsAMalformedOrOversizedFrame() throws Exception {
        PeerLink link = start("entry-1", 0);
        assertClosedAfter(link, "0000000501920891" + "07");
        assertClosedAfter(link, "000000020192");
        assertClosedAfter(link, "7fffffff");
        assertEquals(3, count(Counter.PEER_FRAMES_INVALID));
        assertTrue(received.isEmpty());
    }

    @Test
    void refusesALinkAddressedToAnotherHost() throws Exception {
        PeerLink first = start("entry-1", 0);
        PeerLink second = start("entry-2", 0);
        addresses.put("entry-3", "127.0.0.1:" + second.port());
        first.send("entry-3", new ConfigurationNotice(1));
        assertEquals(null, received.poll(300, TimeUnit.MILLISECONDS));
        assertTrue(count(Counter.PEER_FRAMES_INVALID) > 0);
    }

    @Test
    void countsDroppedMessages() {
        PeerLink link = start("entry-1", 0);
        link.send("entry-2", new ColdSighting("x".repeat(2000), ""));
        link.send("entry-2", new ConfigurationNotice(1));
        long deadlineNanoseconds = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (count(Counter.PEER_FRAMES_DROPPED) < 2 && System.nanoTime() < deadlineNanoseconds) {
            Thread.onSpinWait();
        }
        assertEquals(2, count(Counter.PEER_FRAMES_DROPPED));
    }

    private PeerLink start(String host, int port) {
        PeerLinkOptions options =
                PeerLinkOptions.builder()
                        .hostName(host)
                        .incarnation("i1")
                        .port(port)
                        .frameLimitBytes(1000)
                        .receiptTimeoutMilliseconds(700)
                        .seed(1)
                        .build();
        PeerLink link =
                new PeerLink(
                        options,
                        name -> Optional.ofNullable(addresses.get(name)),
                        (sender, message) -> receive(host, sender, message),
                        workers,
                        new SystemClock(),
                        event -> log(host, event.toLine()),
                        this::count,
                        (direction, type, bytes) -> {
                            if (direction == PeerTrafficRecorder.Direction.SENT) {
                                sentBytes.merge(type, bytes, Integer::sum);
                            }
                        });
        link.start();
        links.add(link);
        addresses.put(host, "127.0.0.1:" + link.port());
        return link;
    }

    private void receive(String host, String sender, PeerMessage message) {
        received.add(host + " from " + sender + " " + message);
    }

    private void log(String host, String line) {
        if (line.contains("direction=out")) {
            outboundLogLines.computeIfAbsent(host, name -> new CopyOnWriteArrayList<>()).add(line);
        }
    }

    private void awaitLogLines(String host, int lines) throws InterruptedException {
        long deadlineNanoseconds = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (outboundLogLines.get(host).size() < lines
                && System.nanoTime() < deadlineNanoseconds) {
            Thread.sleep(10);
        }
    }

    private synchronized void count(Counter counter, long amount) {
        counts.merge(counter, amount, Long::sum);
    }

    private synchronized long count(Counter counter) {
        return counts.getOrDefault(counter, 0L);
    }

    private void assertReceived(String message) throws InterruptedException {
        assertEquals(message, received.poll(5, TimeUnit.SECONDS));
    }

    private void awaitReceivedAfterSending(PeerLink link) throws InterruptedException {
        String message = null;
        for (int i = 0; i < 100 && message == null; i++) {
            link.send("entry-2", new ConfigurationNotice(2));
            message = received.poll(100, TimeUnit.MILLISECONDS);
        }
        assertEquals("entry-2 from entry-1 ConfigurationNotice[version=2]", message);
    }

    private static void assertClosedAfter(PeerLink link, String bytes) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), link.port())) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(HexFormat.of().parseHex(bytes));
            assertEquals(-1, socket.getInputStream().read());
        }
    }
}
