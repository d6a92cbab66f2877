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

/** Provides the server of the administration API and its dependencies. */
@Module
interface AdministrationModule {

    /** Executes operators' commands on this entry host. */
    @Binds
    AdministrationCommands administrationCommands(LibraryCommands commands);

    /** Answers queries from the state of this entry host. */
    @Binds
    AdministrationQueries administrationQueries(LibraryQueries queries);

    @Provides
    @Singleton
    static AdministrationServer administrationServer(
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
