package org.siskinramp.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinramp.daemon.exchange.ManualClock;
import org.siskinramp.log.LogEvent;

class DelayMonitorTest {

    private final ManualClock clock = new ManualClock();
    private final List<LogEvent> events = new ArrayList<>();
    private final DelayMonitor monitor = new DelayMonitor(clock, events::add);

    @Test
    void logsATaskThatStartsLate() {
        monitor.taskScheduled(500);
        clock.advance(500 + DelayMonitor.LOGGED_DELAY_MILLISECONDS);
        monitor.taskStarted();
        assertEquals(1, monitor.delays());
        assertEquals(1, events.size());
    }

    @Test
    void ignoresATaskThatStartsAlmostInTime() {
        monitor.taskStarted();
        monitor.taskScheduled(500);
        clock.advance(500 + DelayMonitor.LOGGED_DELAY_MILLISECONDS - 1);
        monitor.taskStarted();
        assertEquals(0, monitor.delays());
        assertEquals(List.of(), events);
    }
}
