package org.siskinramp.daemon.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AnswerBufferLimiterTest {

    private final List<String> aborted = new ArrayList<>();
    private final AnswerBufferLimiter limiter = new AnswerBufferLimiter(1_000);

    private AnswerBufferLimiter.BufferOwner owner(String name) {
        return () -> aborted.add(name);
    }

    @Test
    void abortsTheLargestAnswerWhenTheTotalExceedsTheLimit() {
        AnswerBufferLimiter.BufferOwner endless = owner("endless");
        AnswerBufferLimiter.BufferOwner usual = owner("usual");
        limiter.resizeTo(endless, 600);
        limiter.resizeTo(usual, 300);
        limiter.resizeTo(usual, 500);
        assertEquals(List.of("endless"), aborted);
        assertEquals(500, limiter.totalBytes());
    }

    @Test
    void theTotalOfFiftyEndlessAnswersStaysWithinTheLimit() {
        List<AnswerBufferLimiter.BufferOwner> owners = new ArrayList<>();
        for (int number = 0; number < 50; number++) {
            owners.add(owner("owner-" + number));
        }
        for (int part = 1; part <= 100; part++) {
            for (AnswerBufferLimiter.BufferOwner owner : owners) {
                limiter.resizeTo(owner, 16L * part);
                assertTrue(limiter.totalBytes() <= 1_000);
            }
        }
    }

    @Test
    void aReleasedAnswerIsNoLongerCounted() {
        AnswerBufferLimiter.BufferOwner first = owner("first");
        limiter.resizeTo(first, 900);
        limiter.release(first);
        limiter.resizeTo(owner("second"), 900);
        assertEquals(List.of(), aborted);
    }
}
