package org.siskinramp.standin.command;

import java.util.concurrent.CountDownLatch;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;

/** Keeps a server running until the process is terminated. */
final class ServerProcess {

    private ServerProcess() {}

    static int runUntilTerminated(String address, EventLog output, Runnable stop) {
        output.record(LogEvent.named("listening").with("address", address));
        Runtime.getRuntime().addShutdownHook(new Thread(stop, "stand-in-stop"));
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }
}
