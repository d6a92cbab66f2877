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

/** Provides what all parts share: the clock, the event log, the metrics and the worker threads. */
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

    /** Runs delayed tasks on the worker threads. */
    @Binds
    Scheduler scheduler(Workers workers);

    /** Adds increments of counters to the metrics. */
    @Binds
    Counters counters(Metrics metrics);

    /** Registers gauges with the metrics. */
    @Binds
    Gauges gauges(Metrics metrics);
}
