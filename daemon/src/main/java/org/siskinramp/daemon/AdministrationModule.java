package org.siskinramp.daemon;

import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import org.siskinramp.daemon.administration.AdministrationServer;
import org.siskinramp.daemon.administration.AdministrationToken;
import org.siskinramp.daemon.administration.command.AdministrationCommands;
import org.siskinramp.daemon.administration.query.AdministrationQueries;
import org.siskinramp.daemon.metrics.Metrics;
import org.siskinramp.daemon.settings.Settings;
import org.siskinramp.log.EventLog;

/** Provides the administration API. */
@Module
interface AdministrationModule {

    /** Carries commands out through the library. */
    @Binds
    AdministrationCommands commands(LibraryCommands commands);

    /** Answers queries from the library. */
    @Binds
    AdministrationQueries queries(LibraryQueries queries);

    @Provides
    @Singleton
    static AdministrationServer server(
            Settings settings,
            AdministrationCommands commands,
            AdministrationQueries queries,
            Metrics metrics,
            EventLog eventLog) {
        return new AdministrationServer(
                settings.administration().address(),
                AdministrationToken.read(settings.administration().tokenFile()),
                commands,
                queries,
                metrics,
                eventLog);
    }
}
