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

/** Delivers messages to a receiver on worker threads, sequentially and in order per sender. */
final class OrderedDelivery {

    private final BiConsumer<String, PeerMessage> receiver;
    private final Executor workers;
    private final int queueLimitMessages;
    private final EventLog eventLog;
    private final Counters counters;
    private final Map<String, SenderQueue> senderQueues = new ConcurrentHashMap<>();

    OrderedDelivery(
            BiConsumer<String, PeerMessage> receiver,
            Executor workers,
            int limit,
            EventLog eventLog,
            Counters counters) {
        this.receiver = receiver;
        this.workers = workers;
        this.queueLimitMessages = limit;
        this.eventLog = eventLog;
        this.counters = counters;
    }

    void deliver(String host, PeerMessage message) {
        senderQueues.computeIfAbsent(host, SenderQueue::new).add(message);
    }

    private final class SenderQueue implements Runnable {

        private final String host;
        private final Deque<PeerMessage> waiting = new ArrayDeque<>();
        private boolean running;

        SenderQueue(String host) {
            this.host = host;
        }

        void add(PeerMessage message) {
            if (enqueue(message)) {
                workers.execute(this);
            }
        }

        /**
         * Adds a message and drops the oldest one if the queue is full; returns true if no worker
         * processes this queue yet.
         */
        private synchronized boolean enqueue(PeerMessage message) {
            if (waiting.size() >= queueLimitMessages) {
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
