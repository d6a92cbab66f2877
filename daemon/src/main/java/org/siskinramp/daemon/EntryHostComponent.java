package org.siskinramp.daemon;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;
import org.siskinramp.daemon.settings.Settings;

/** Builds an entry host from its settings. */
@Singleton
@Component(modules = {SystemModule.class, EntryHostModule.class, AdministrationModule.class})
interface EntryHostComponent {

    /** Returns the daemon, which must be started. */
    EntryHostDaemon daemon();

    /** Creates the component. */
    @Component.Factory
    interface Factory {

        /**
         * Creates the component of one entry host.
         *
         * @param settings the checked settings
         * @return the component
         */
        EntryHostComponent create(@BindsInstance Settings settings);
    }
}
