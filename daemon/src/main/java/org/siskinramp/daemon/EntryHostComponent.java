package org.siskinramp.daemon;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;
import org.siskinramp.daemon.settings.Settings;

/** Builds an entry host from its parts. */
@Singleton
@Component(modules = {SystemModule.class, EntryHostModule.class, AdministrationModule.class})
interface EntryHostComponent {

    /** Returns the entry host, not yet started. */
    EntryHostDaemon entryHost();

    /** Makes the component. */
    @Component.Factory
    interface Factory {

        /**
         * Makes the component of one entry host.
         *
         * @param settings the checked settings
         * @return the component
         */
        EntryHostComponent create(@BindsInstance Settings settings);
    }
}
