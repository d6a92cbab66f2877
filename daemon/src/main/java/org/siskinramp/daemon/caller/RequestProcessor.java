package org.siskinramp.daemon.caller;

import java.util.concurrent.CompletableFuture;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.request.Answer;
import org.siskinramp.request.CallerConnection;

/** Starts accepted requests. */
final class RequestProcessor {

    private final EventLog eventLog;

    RequestProcessor(EventLog eventLog) {
        this.eventLog = eventLog;
    }

    /** Returns the answer; an exception that is thrown instead is logged and fails the future. */
    CompletableFuture<Answer> start(
            AcceptedRequest accepted, byte[] body, CallerConnection connection) {
        try {
            return accepted.process(body, connection);
        } catch (RuntimeException | Error failure) {
            eventLog.record(
                    LogEvent.named("processing_failed")
                            .with("request", accepted.requestId())
                            .with("cause", failure));
            return CompletableFuture.failedFuture(failure);
        }
    }
}
