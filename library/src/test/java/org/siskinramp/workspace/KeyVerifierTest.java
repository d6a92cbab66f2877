package org.siskinramp.workspace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

class KeyVerifierTest {

    private static final String KEY = "2ftimaj3nr26tta828m8";
    private static final Workspace CREW =
            new Workspace(
                    "crew",
                    Workspace.NO_RANK,
                    0,
                    0,
                    List.of(KeyDigest.of("former"), KeyDigest.of(KEY)));
    private static final Optional<WorkspaceTable> WORKSPACES =
            Optional.of(new WorkspaceTable(List.of(CREW)));

    private long tableAge = 100;

    private Optional<Workspace> verify(long maximumAgeToAccept, String... credentials) {
        return new KeyVerifier(2_500, maximumAgeToAccept, () -> tableAge)
                .verify(WORKSPACES, false, List.of(credentials));
    }

    private ResultException refusal(String... credentials) {
        return assertThrows(ResultException.class, () -> verify(Long.MAX_VALUE, credentials));
    }

    @ParameterizedTest
    @ValueSource(strings = {"Bearer " + KEY, "bearer " + KEY, " BEARER   " + KEY + " "})
    void findsTheWorkspaceThatHoldsTheKey(String credentials) {
        assertEquals(Optional.of(CREW), verify(Long.MAX_VALUE, credentials));
    }

    @ParameterizedTest
    @ValueSource(strings = {"Bearer other", "Basic " + KEY, KEY, "Bearer", "Bearer ", ""})
    void refusesAnythingElseForGood(String credentials) {
        assertEquals(ResultCode.KEY_UNKNOWN, refusal(credentials).code());
        assertEquals(ResultCode.KEY_UNKNOWN, refusal().code());
    }

    @Test
    void refusesCredentialsThatAreGivenTwice() {
        assertEquals(ResultCode.REQUEST_INVALID, refusal("Bearer " + KEY, "Bearer " + KEY).code());
    }

    /** A key that was just added was refused for good by a host with an outdated table. */
    @Test
    void anOutdatedTableRefusesAnUnknownKeyOnlyForNow() {
        tableAge = 2_501;
        ResultException refusal = refusal("Bearer new");
        assertEquals(ResultCode.KEYS_OUTDATED, refusal.code());
        assertEquals(500, refusal.retryAfterMilliseconds().orElseThrow());
        assertEquals(Optional.of(CREW), verify(Long.MAX_VALUE, "Bearer " + KEY));
    }

    @Test
    void aTableThatIsTooOldToAcceptKeysAcceptsNone() {
        tableAge = 5_001;
        ResultException refusal =
                assertThrows(ResultException.class, () -> verify(5_000, "Bearer " + KEY));
        assertEquals(ResultCode.KEYS_OUTDATED, refusal.code());
    }

    @Test
    void needsNoKeyOnAPublicRouteOrWithoutWorkspaces() {
        KeyVerifier verifier = new KeyVerifier(2_500, Long.MAX_VALUE, () -> tableAge);
        assertEquals(Optional.empty(), verifier.verify(WORKSPACES, true, List.of()));
        assertEquals(Optional.empty(), verifier.verify(Optional.empty(), false, List.of()));
    }

    @Test
    void noRefusalContainsTheKey() {
        assertFalse(refusal("Bearer other").getMessage().contains("other"));
        assertFalse(refusal("Bearer other", "Bearer other").getMessage().contains("other"));
    }

    @Test
    void rejectsAKeyOfTwoWorkspaces() {
        Workspace other = new Workspace("desk", 0, 0, 0, List.of(KeyDigest.of(KEY)));
        IllegalArgumentException failure =
                assertThrows(
                        IllegalArgumentException.class,
                        () -> new WorkspaceTable(List.of(CREW, other)));
        assertEquals("workspaces crew and desk share a key", failure.getMessage());
    }

    @Test
    void theRankOfAWorkspaceTakesPrecedenceOverThatOfTheRoute() {
        assertEquals(2, CREW.rankOf(2));
        assertEquals(0, new Workspace("desk", 0, 0, 0, List.of()).rankOf(2));
    }
}
