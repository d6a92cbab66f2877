package org.siskinramp.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinramp.log.LogEvent;

class StalenessLogTest {

    private final List<String> lines = new ArrayList<>();
    private final StalenessLog log = new StalenessLog("servers", 1_500, this::record);

    private void record(LogEvent event) {
        lines.add(event.toLine());
    }

    @Test
    void logsOnceThatATableIsStaleAndOnceThatItIsFreshAgain() {
        log.recordAge(1_500, "edge-1");
        assertEquals(List.of(), lines);
        log.recordAge(1_600, "edge-1");
        log.recordAge(2_600, "none");
        log.recordAge(20, "edge-2");
        log.recordAge(30, "edge-2");
        assertEquals(
                List.of(
                        "event=table_stale table=servers age_ms=1600 limit_ms=1500 source=edge-1",
                        "event=table_fresh table=servers oldest_ms=2600 source=edge-2"),
                lines);
    }
}
