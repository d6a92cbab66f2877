package org.siskinramp.daemon;

import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import org.siskinramp.daemon.log.Log4jEventLog;
import org.siskinramp.daemon.metrics.Gauges;
import org.siskinramp.daemon.metrics.Metrics;
import org.siskinramp.daemon.settings.Settings;
import org.siskinramp.daemon.worker.Workers;
import org.siskinramp.log.Counters;
import org.siskinramp.log.EventLog;
import org.siskinramp.time.Clock;
import org.siskinramp.time.Scheduler;
import org.siskinramp.time.SystemClock;

/** Provides what every part uses: the clock, the log, the metrics and the workers. */
@Module
interface SystemModule {

    @Provides
    @Singleton
    static Clock clock() {
        return new SystemClock();
    }

    @Provides
    @Singleton
    static EventLog eventLog(Clock clock, Settings settings) {
        return new Log4jEventLog(clock, settings.host());
    }

    @Provides
    @Singleton
    static Metrics metrics() {
        return new Metrics();
    }

    @Provides
    @Singleton
    static Workers workers(Settings settings, EventLog eventLog, Counters counters) {
        return new Workers(settings.workers().count(), eventLog, counters);
    }

    /** Gives the workers to those that delay tasks. */
    @Binds
    Scheduler scheduler(Workers workers);

    /** Gives the counters to those that raise them. */
    @Binds
    Counters counters(Metrics metrics);

    /** Gives the gauges to those that register them. */
    @Binds
    Gauges gauges(Metrics metrics);
}
