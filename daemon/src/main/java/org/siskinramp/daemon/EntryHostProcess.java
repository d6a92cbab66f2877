package org.siskinramp.daemon;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.siskinramp.daemon.commandline.ExitStatus;
import org.siskinramp.daemon.log.LogSetup;
import org.siskinramp.daemon.settings.Settings;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Runs an entry host in this process until the process is terminated. */
final class EntryHostProcess {

    private EntryHostProcess() {}

    static ExitStatus run(Settings settings) {
        LogSetup.apply(settings.host(), settings.log());
        EntryHostDaemon daemon = DaggerEntryHostComponent.factory().create(settings).daemon();
        try {
            daemon.start();
        } catch (IOException failure) {
            throw new ResultException(
                    ResultCode.SETTINGS_INVALID, "cannot listen on a configured address", failure);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "stop"));
        awaitStop();
        return ExitStatus.SUCCESS;
    }

    /**
     * Stops the entry host and ends the process. After a signal the JVM would exit with 128 plus
     * the signal's number; a stop without failures exits with 0 instead.
     */
    private static void stop(EntryHostDaemon daemon) {
        ExitStatus status = daemon.stop() ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
        Runtime.getRuntime().halt(status.number());
    }

    private static void awaitStop() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException failure) {
            Thread.currentThread().interrupt();
        }
    }
}
