package org.siskinramp.daemon.log;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.siskinramp.daemon.settings.Settings;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.time.Clock;

/** Logs each event as one line with the time, the level, the host and its availability zone. */
public final class Log4jEventLog implements EventLog {

    static final String LOGGER_NAME = "org.siskinramp.event";

    private static final String INVARIANT_PREFIX = "invariant";
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("uuuu-MM-dd'T'HH:mm:ss.SSS'Z'", Locale.ROOT)
                    .withZone(ZoneOffset.UTC);

    private final Logger logger = LogManager.getLogger(LOGGER_NAME);
    private final Clock clock;
    private final String hostFields;

    /**
     * Creates the event log of a host.
     *
     * @param clock provides the calendar time of each event
     * @param host the name and the availability zone of this host
     */
    public Log4jEventLog(Clock clock, Settings.Host host) {
        this.clock = clock;
        this.hostFields =
                " host=" + host.name() + " availability_zone=" + host.availabilityZone() + " ";
    }

    @Override
    public void record(LogEvent event) {
        Level level = levelOf(event);
        if (logger.isEnabled(level)) {
            logger.log(level, toLine(event, level));
        }
    }

    String toLine(LogEvent event, Level level) {
        return "time="
                + TIME.format(Instant.ofEpochMilli(clock.calendarMilliseconds()))
                + " level="
                + level.name().toLowerCase(Locale.ROOT)
                + hostFields
                + event.toLine();
    }

    private static Level levelOf(LogEvent event) {
        return event.name().startsWith(INVARIANT_PREFIX) ? Level.ERROR : Level.INFO;
    }
}
