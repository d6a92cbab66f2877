package org.siskinramp.daemon.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.apache.logging.log4j.Level;
import org.junit.jupiter.api.Test;
import org.siskinramp.daemon.settings.Settings;
import org.siskinramp.log.LogEvent;
import org.siskinramp.time.Clock;

final class Log4jEventLogTest {

    @Test
    void aLineStartsWithTheTimeAndNamesHostAndAvailabilityZone() {
        Log4jEventLog eventLog =
                new Log4jEventLog(new FixedClock(), new Settings.Host("entry-1", "almaty-1"));

        assertEquals(
                "time=1970-01-01T00:00:01.005Z level=info host=entry-1 availability_zone=almaty-1"
                        + " event=route reason=\"two words\"",
                eventLog.toLine(LogEvent.named("route").with("reason", "two words"), Level.INFO));
    }

    private static final class FixedClock implements Clock {

        @Override
        public long monotonicMilliseconds() {
            return 0;
        }

        @Override
        public long calendarMilliseconds() {
            return 1_005;
        }
    }
}
