package org.siskinramp.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class HangUpSignalTest {

    /** The settings may change while the process starts. */
    @Test
    void aSignalThatArrivesBeforeTheActionIsKept() {
        AtomicInteger runs = new AtomicInteger();
        HangUpSignal.receive();
        HangUpSignal.receive();
        HangUpSignal.setAction(runs::incrementAndGet);
        assertEquals(1, runs.get());
        HangUpSignal.receive();
        assertEquals(2, runs.get());
        HangUpSignal.setAction(runs::incrementAndGet);
        assertEquals(2, runs.get());
    }
}
