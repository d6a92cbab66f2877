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
 * Reports what became of a request, from the journals of all entry hosts and the claim row.
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
     * Creates an inquiry that reads from a platform.
     *
     * @param platform the platform, whose calls must all have a time limit
     * @param clock the clock
     * @param journalOptions the options with which the entry hosts write their journals
     * @param options the limits by which requests are taken to have ended
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
                        searchResult ->
                                platform.read(List.of(ClaimRowCodec.rowKey(key)))
                                        .thenApply(rows -> history(key, searchResult, rows)));
    }

    private RequestHistory history(
            RequestKey key, JournalSearchResult searchResult, List<Row> rows) {
        Optional<ClaimRow> claim = rows.stream().findFirst().flatMap(RequestInquiry::readClaim);
        boolean malformed = claim.isEmpty() && !rows.isEmpty();
        RequestRecords records =
                new RequestRecords(claim, malformed, searchResult, clock.calendarMilliseconds());
        ReasonedVerdict reasonedVerdict = ReasonedVerdict.of(records, options);
        return new RequestHistory(
                key,
                reasonedVerdict.verdict(),
                reasonedVerdict.possibleRuns(),
                reasonedVerdict.reason(),
                claim,
                searchResult.entries(),
                searchResult.gaps(),
                searchResult.searchedFromMilliseconds(),
                searchResult.completeUntilMilliseconds());
    }

    private static Optional<ClaimRow> readClaim(Row row) {
        try {
            return Optional.of(ClaimRowCodec.read(row.value()));
        } catch (ResultException malformed) {
            return Optional.empty();
        }
    }
}
