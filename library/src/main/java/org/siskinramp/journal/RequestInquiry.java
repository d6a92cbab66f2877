package org.siskinramp.journal;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.ledger.ClaimRow;
import org.siskinramp.ledger.ClaimRowCodec;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.Row;
import org.siskinramp.request.RequestKey;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.Clock;

/**
 * Tells what became of a request.
 *
 * <pre>{@code
 * inquiry.show(new RequestKey("crew-7", "4711")).thenAccept(history -> print(history.verdict()));
 * }</pre>
 */
public final class RequestInquiry {

    private final Platform platform;
    private final Clock clock;
    private final JournalOptions journalOptions;
    private final InquiryOptions options;

    /**
     * Reaches the journal and the claims of a platform.
     *
     * @param platform the platform, whose calls all end in time
     * @param clock the clock
     * @param journalOptions the options that the entry hosts write their journals with
     * @param options what is taken for certain
     */
    public RequestInquiry(
            Platform platform, Clock clock, JournalOptions journalOptions, InquiryOptions options) {
        this.platform = Objects.requireNonNull(platform, "platform");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.journalOptions = Objects.requireNonNull(journalOptions, "journalOptions");
        this.options = Objects.requireNonNull(options, "options");
    }

    /**
     * Finds out what became of a request.
     *
     * @param key the caller and identifier
     * @return the history; fails with {@code PLATFORM_UNAVAILABLE}
     */
    public CompletableFuture<RequestHistory> show(RequestKey key) {
        return new JournalReader(platform, journalOptions, key, clock.calendarMilliseconds())
                .find()
                .thenCompose(
                        findings ->
                                platform.read(List.of(ClaimRowCodec.rowKey(key)))
                                        .thenApply(rows -> history(key, findings, rows)));
    }

    private RequestHistory history(RequestKey key, JournalFindings findings, List<Row> rows) {
        Optional<ClaimRow> claim = rows.stream().findFirst().flatMap(RequestInquiry::readClaim);
        boolean malformed = claim.isEmpty() && !rows.isEmpty();
        Evidence evidence = new Evidence(claim, malformed, findings, clock.calendarMilliseconds());
        Conclusion conclusion = Conclusion.of(evidence, options);
        return new RequestHistory(
                key,
                conclusion.verdict(),
                conclusion.tries(),
                conclusion.reason(),
                claim,
                findings.entries(),
                findings.gaps(),
                findings.searchedFromMilliseconds(),
                findings.completeUntilMilliseconds());
    }

    private static Optional<ClaimRow> readClaim(Row row) {
        try {
            return Optional.of(ClaimRowCodec.read(row.value()));
        } catch (ResultException malformed) {
            return Optional.empty();
        }
    }
}
