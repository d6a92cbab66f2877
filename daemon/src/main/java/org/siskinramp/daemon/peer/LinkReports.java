package org.siskinramp.daemon.peer;

import org.siskinramp.log.Counter;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;

/** Logs and counts the events of peer links. */
record LinkReports(EventLog eventLog, Counters counters, PeerTrafficRecorder traffic) {

    void linkOpened(String peer, String direction) {
        eventLog.record(
                LogEvent.named("peer_link_opened").with("peer", peer).with("direction", direction));
    }

    void linkOpened(String peer, String direction, int failuresBefore) {
        eventLog.record(
                LogEvent.named("peer_link_opened")
                        .with("peer", peer)
                        .with("direction", direction)
                        .with("failures_before", failuresBefore));
    }

    void linkFailed() {
        counters.add(Counter.PEER_LINK_FAILURES);
    }

    void linkClosed(String peer, String direction, Object reason) {
        eventLog.record(
                LogEvent.named("peer_link_closed")
                        .with("peer", peer)
                        .with("direction", direction)
                        .with("reason", reason));
    }

    void linkStoppedResponding() {
        counters.add(Counter.SILENT_CONNECTIONS);
    }

    void frameInvalid(String peer, Throwable cause) {
        counters.add(Counter.PEER_FRAMES_INVALID);
        eventLog.record(
                LogEvent.named("peer_frame_invalid")
                        .with("peer", peer)
                        .with("cause", cause.getMessage()));
    }

    void messageTypeUnknown() {
        counters.add(Counter.PEER_FRAMES_UNKNOWN);
    }

    void framesDropped(String peer, long frames, String reason) {
        if (frames > 0) {
            counters.add(Counter.PEER_FRAMES_DROPPED, frames);
            eventLog.record(
                    LogEvent.named("peer_frames_dropped")
                            .with("peer", peer)
                            .with("frames", frames)
                            .with("reason", reason));
        }
    }

    void frameSent(Frame frame) {
        counters.add(Counter.PEER_FRAMES);
        counters.add(Counter.PEER_BYTES, frame.bytes().length);
        traffic.recordFrame(
                PeerTrafficRecorder.Direction.SENT, frame.messageType(), frame.bytes().length);
    }

    void frameReceived(String messageType, int bytes) {
        traffic.recordFrame(PeerTrafficRecorder.Direction.RECEIVED, messageType, bytes);
    }
}
