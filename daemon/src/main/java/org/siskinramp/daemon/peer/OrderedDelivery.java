package org.siskinramp.daemon.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.peer.PeerMessage;

/** Hands messages to a receiver on workers, one at a time and in order for each sender. */
final class OrderedDelivery {

    private final BiConsumer<String, PeerMessage> receiver;
    private final Executor workers;
    private final int limit;
    private final EventLog eventLog;
    private final Counters counters;
    private final Map<String, Lane> lanes = new ConcurrentHashMap<>();

    OrderedDelivery(
            BiConsumer<String, PeerMessage> receiver,
            Executor workers,
            int limit,
            EventLog eventLog,
            Counters counters) {
        this.receiver = receiver;
        this.workers = workers;
        this.limit = limit;
        this.eventLog = eventLog;
        this.counters = counters;
    }

    void deliver(String host, PeerMessage message) {
        lanes.computeIfAbsent(host, Lane::new).add(message);
    }

    private final class Lane implements Runnable {

        private final String host;
        private final Deque<PeerMessage> waiting = new ArrayDeque<>();
        private boolean running;

        Lane(String host) {
            this.host = host;
        }

        void add(PeerMessage message) {
            if (enqueue(message)) {
                workers.execute(this);
            }
        }

        /** Adds a message; returns true if the lane must be started. */
        private synchronized boolean enqueue(PeerMessage message) {
            if (waiting.size() >= limit) {
                waiting.removeFirst();
                counters.add(Counter.PEER_FRAMES_DROPPED);
            }
            waiting.addLast(message);
            boolean start = !running;
            running = true;
            return start;
        }

        private synchronized PeerMessage next() {
            PeerMessage message = waiting.pollFirst();
            running = message != null;
            return message;
        }

        @Override
        public void run() {
            for (PeerMessage message = next(); message != null; message = next()) {
                handle(message);
            }
        }

        private void handle(PeerMessage message) {
            try {
                receiver.accept(host, message);
            } catch (RuntimeException failure) {
                counters.add(Counter.INVARIANT_VIOLATIONS);
                eventLog.record(
                        LogEvent.named("peer_message_failed")
                                .with("peer", host)
                                .with("type", PeerCodec.nameOf(message))
                                .with("cause", failure));
            }
        }
    }
}
