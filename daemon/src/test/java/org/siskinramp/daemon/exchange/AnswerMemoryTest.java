package org.siskinramp.daemon.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AnswerMemoryTest {

    private final List<String> stopped = new ArrayList<>();
    private final AnswerMemory memory = new AnswerMemory(1_000);

    private AnswerMemory.Holder holder(String name) {
        return () -> stopped.add(name);
    }

    @Test
    void stopsTheLargestAnswerWhenAllTogetherAreTooLarge() {
        AnswerMemory.Holder endless = holder("endless");
        AnswerMemory.Holder usual = holder("usual");
        memory.grow(endless, 600);
        memory.grow(usual, 300);
        memory.grow(usual, 200);
        assertEquals(List.of("endless"), stopped);
        assertEquals(500, memory.totalBytes());
    }

    @Test
    void fiftyAnswersWithoutEndStayBelowTheLimit() {
        List<AnswerMemory.Holder> holders = new ArrayList<>();
        for (int number = 0; number < 50; number++) {
            holders.add(holder("holder-" + number));
        }
        for (int part = 0; part < 100; part++) {
            for (AnswerMemory.Holder holder : holders) {
                memory.grow(holder, 16);
                assertTrue(memory.totalBytes() <= 1_000);
            }
        }
    }

    @Test
    void anAnswerThatEndedCountsNoMore() {
        AnswerMemory.Holder first = holder("first");
        memory.grow(first, 900);
        memory.release(first);
        memory.grow(holder("second"), 900);
        assertEquals(List.of(), stopped);
    }
}
