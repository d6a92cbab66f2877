package org.siskinramp.daemon;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.siskinramp.daemon.commandline.ExitStatus;
import org.siskinramp.daemon.log.LogSetup;
import org.siskinramp.daemon.settings.Settings;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Runs an entry host as the whole process, until the process is told to stop. */
final class EntryHostProcess {

    private EntryHostProcess() {}

    static ExitStatus run(Settings settings) {
        LogSetup.apply(settings.host(), settings.log());
        EntryHostDaemon entryHost = DaggerEntryHostComponent.factory().create(settings).entryHost();
        try {
            entryHost.start();
        } catch (IOException failure) {
            throw new ResultException(
                    ResultCode.SETTINGS_INVALID, "an address cannot be used", failure);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(entryHost), "stop"));
        awaitStop();
        return ExitStatus.SUCCESS;
    }

    /** A stop that was asked for and ended in order is a success, also when a signal asked. */
    private static void stop(EntryHostDaemon entryHost) {
        ExitStatus status = entryHost.stop() ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
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
