package org.siskinramp.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinramp.peer.SuspectRequest;
import org.siskinramp.time.VirtualTime;

final class SuspectRequestsTest {

    private final VirtualTime time = new VirtualTime();
    private final List<SuspectRequest> broadcastReports = new ArrayList<>();
    private final SuspectRequests suspects =
            new SuspectRequests(
                    time,
                    event -> {},
                    new SuspicionOptions(600_000, 10_000, 3),
                    broadcastReports::add);

    @Test
    void quarantinesAfterCrashesOfTwoServers() {
        suspects.recordCrash("aa", "server-1");
        assertTrue(suspects.mustRunAlone("aa"));
        assertFalse(suspects.isQuarantined("aa"));
        suspects.recordCrash("aa", "server-2");
        assertTrue(suspects.isQuarantined("aa"));
        assertEquals(
                List.of(
                        new SuspectRequest("aa", "server-1", 1),
                        new SuspectRequest("aa", "server-2", 2)),
                broadcastReports);
    }

    @Test
    void quarantinesAfterASecondCrashOfTheSameServer() {
        suspects.recordCrash("aa", "server-1");
        time.advance(1_500);
        suspects.recordCrash("aa", "server-1");
        assertTrue(suspects.isQuarantined("aa"));
    }

    @Test
    void refusesARequestWhileTwoServersMayHaveCrashed() {
        suspects.recordBrokenConnection("aa", "server-1");
        assertFalse(suspects.isQuarantined("aa"));
        suspects.receive("entry-2", new SuspectRequest("aa", "server-2", 0));
        assertTrue(suspects.isQuarantined("aa"));
        time.advance(2_000);
        assertFalse(suspects.isQuarantined("aa"));
    }

    @Test
    void countsASuspectedCrashOnceWhenItIsConfirmed() {
        suspects.recordBrokenConnection("aa", "server-1");
        suspects.recordCrash("aa", "server-1");
        assertFalse(suspects.isQuarantined("aa"));
        assertTrue(suspects.mustRunAlone("aa"));
    }

    @Test
    void countsACrashOnceThoughAPeerReportsItToo() {
        suspects.recordCrash("aa", "server-1");
        suspects.receive("entry-2", new SuspectRequest("aa", "server-1", 1));
        suspects.receive("entry-3", new SuspectRequest("bb", "server-1", 1));
        time.advance(3_000);
        suspects.recordCrash("bb", "server-1");
        suspects.receive("entry-2", new SuspectRequest("bb", "server-1", 1));
        assertFalse(suspects.isQuarantined("aa"));
        assertFalse(suspects.isQuarantined("bb"));
        assertTrue(suspects.mustRunAlone("bb"));
    }

    @Test
    void peerReportsOnlyIncreaseTheCrashCount() {
        suspects.recordCrash("aa", "server-1");
        suspects.receive("entry-2", new SuspectRequest("aa", "server-2", 1));
        suspects.receive("entry-2", new SuspectRequest("aa", "server-1", 1));
        assertTrue(suspects.isQuarantined("aa"));
        suspects.receive("entry-2", new SuspectRequest("bb", "server-1", 2));
        assertTrue(suspects.isQuarantined("bb"));
    }

    @Test
    void clearsACompletedRequest() {
        suspects.recordCrash("aa", "server-1");
        suspects.recordCompletion("aa");
        assertFalse(suspects.mustRunAlone("aa"));
    }

    @Test
    void doesNotSuspectRecentlyCompletedContent() {
        suspects.recordCompletion("aa");
        suspects.recordCrash("aa", "server-1");
        suspects.recordCrash("aa", "server-2");
        assertFalse(suspects.mustRunAlone("aa"));
        time.advance(10_000);
        suspects.recordCrash("aa", "server-3");
        assertTrue(suspects.mustRunAlone("aa"));
    }

    @Test
    void expiresSuspicionsAndEvictsTheOldestFirst() {
        suspects.recordCrash("aa", "server-1");
        suspects.recordCrash("aa", "server-2");
        time.advance(599_999);
        assertTrue(suspects.isQuarantined("aa"));
        time.advance(1);
        assertFalse(suspects.mustRunAlone("aa"));
        List.of("bb", "cc", "dd", "ee").forEach(hash -> suspects.recordCrash(hash, "server-1"));
        assertFalse(suspects.mustRunAlone("bb"));
        assertTrue(suspects.mustRunAlone("cc"));
    }
}
