package org.siskinramp.daemon;

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
final class AdministrationModule {

    private AdministrationModule() {}

    @Provides
    @Singleton
    static AdministrationCommands commands() {
        return new UnwiredAdministration();
    }

    @Provides
    @Singleton
    static AdministrationQueries queries() {
        return new UnwiredAdministration();
    }

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
