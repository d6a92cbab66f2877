package org.siskinramp.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.siskinramp.peer.QuotaStamp;
import org.siskinramp.time.Clock;

class TokenStockTest {

    private static final long ONE = TokenBatch.ONE_TOKEN;
    private static final long START = 1L << 40;

    private final TokenStock stock = new TokenStock(new QuotaTerms(10, 1_000));
    private final FreezableClock clock = new FreezableClock();
    private final TokenClock tokenClock = new TokenClock(clock);

    /** Guards against tokens that are used after their age, or more than once. */
    @Test
    void usesEachTokenOnceAndNoneAfterItsExpiry() {
        stock.add(new TokenBatch(500, ONE), 0);
        stock.add(new TokenBatch(800, ONE / 2), 0);
        stock.add(new TokenBatch(900, ONE / 2), 0);
        assertEquals(OptionalLong.of(500), stock.useOne(499));
        assertEquals(OptionalLong.of(800), stock.useOne(600));
        assertEquals(OptionalLong.empty(), stock.useOne(600));
        stock.add(new TokenBatch(900, ONE), 600);
        assertEquals(OptionalLong.empty(), stock.useOne(900));
    }

    /** Guards against tokens that outlive the age that the quota allows at this host. */
    @Test
    void limitsAgeAndAmountToTheQuota() {
        stock.add(new TokenBatch(1_000_000, 50 * ONE), 0);
        assertEquals(10 * ONE, stock.total(0));
        assertEquals(0, stock.total(1_000));
    }

    /** Guards against a burst of the old rate after the limit was lowered. */
    @Test
    void shrinksWithALoweredRate() {
        stock.add(new TokenBatch(1_000, 8 * ONE), 0);
        stock.adapt(new QuotaTerms(5, 500), 0);
        assertEquals(2_500_000, stock.total(0));
        assertEquals(0, stock.total(500));
    }

    @Test
    void conservesTheAmountInATransfer() {
        stock.add(new TokenBatch(430, 3 * ONE), 0);
        stock.add(new TokenBatch(440, ONE), 0);
        TokenStock target = new TokenStock(stock.terms());
        long added =
                TokenTransfer.addTo(
                        target,
                        TokenTransfer.toMessage(
                                "crew", stock.terms(), stock.takeOldest(4 * ONE, 0), 0),
                        20,
                        7_000);
        assertEquals(4 * ONE, added);
        assertEquals(0, stock.total(0));
        assertEquals(4 * ONE, target.total(7_399));
        assertEquals(0, target.total(7_430));
    }

    /** Guards against minting for the time for which a host was frozen, beyond one age. */
    @Test
    void mintsTheShareOfThisHost() {
        TokenMint mint = new TokenMint(0);
        clock.monotonic = 500;
        mint.mintInto(stock, tokenClock, 4);
        assertEquals(1_250_000, stock.total(500));
        clock.monotonic = 100_000;
        mint.mintInto(stock, tokenClock, 0);
        assertEquals(0, stock.total(100_000));
        clock.monotonic = 200_000;
        mint.mintInto(stock, tokenClock, 1);
        assertTrue(stock.total(200_000) <= 10 * ONE);
    }

    /** Guards against tokens that a frozen host uses although others minted new ones meanwhile. */
    @Test
    void countsTheTimeOfAFreeze() {
        clock.frozen = 3_000;
        clock.monotonic = 10;
        assertEquals(3_010, tokenClock.milliseconds());
        clock.frozen = 1_000;
        assertEquals(3_010, tokenClock.milliseconds());
    }

    /** Guards against a token that two hosts use, and one whose age nobody knows. */
    @Test
    void rejectsDuplicatesAndMessagesWithoutEcho() {
        TransitBounds bounds = new TransitBounds(tokenClock, START);
        assertFalse(bounds.receive("a", new QuotaStamp(9, 1, 77, -1, 0)).isPresent());
        QuotaStamp sent = bounds.stampFor("a");
        assertEquals(77, sent.echoMilliseconds());
        clock.monotonic = 400;
        QuotaStamp answer = new QuotaStamp(9, 2, 450, sent.sentMilliseconds(), 390);
        assertEquals(OptionalLong.of(10), bounds.receive("a", answer));
        assertFalse(bounds.receive("a", answer).isPresent());
        // The stamp of an earlier process of this host says nothing about its time on the way.
        assertFalse(bounds.receive("a", new QuotaStamp(9, 3, 460, START - 5, 0)).isPresent());
        // A restarted sender is accepted, but none of its earlier messages any more.
        assertTrue(
                bounds.receive("a", new QuotaStamp(8, 1, 9, sent.sentMilliseconds(), 0))
                        .isPresent());
        assertFalse(bounds.receive("a", new QuotaStamp(9, 4, 470, START, 0)).isPresent());
    }

    /** Guards against a freeze that no clock of this host counted. */
    @Test
    void learnsAFreezeFromAMessage() {
        TransitBounds bounds = new TransitBounds(tokenClock, START);
        QuotaStamp sent = bounds.stampFor("a");
        clock.monotonic = 100;
        assertEquals(
                OptionalLong.of(0),
                bounds.receive("a", new QuotaStamp(9, 1, 1, sent.sentMilliseconds(), 2_100)));
        assertEquals(2_100, tokenClock.milliseconds());
    }

    /** Guards against added and cut off hosts that mint more than all hosts may together. */
    @Test
    void dividesTheRateAmongNoFewerHostsThanThereMayBe() {
        List<HostCount> counts =
                List.of(
                        HostCount.UNKNOWN,
                        new HostCount(5, 0, false, 11_999),
                        new HostCount(5, 0, false, 12_000),
                        new HostCount(5, 0, true, 0),
                        new HostCount(5, 11_500, true, 60_000));
        assertEquals(List.of(0, 0, 5, 5, 7), counts.stream().map(HostCount::divisor).toList());
    }

    private static final class FreezableClock implements Clock {

        private long monotonic;
        private long frozen;

        @Override
        public long monotonicMilliseconds() {
            return monotonic;
        }

        @Override
        public long calendarMilliseconds() {
            return 1_000_000 + monotonic + frozen;
        }
    }
}
