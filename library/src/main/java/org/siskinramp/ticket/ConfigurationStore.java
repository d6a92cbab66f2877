package org.siskinramp.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.Row;
import org.siskinramp.platform.RowKey;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Reads consistent snapshots of the configuration from the platform's table service. */
final class ConfigurationStore {

    private static final int PAGE_ROWS = 1_000;
    private static final int MAXIMUM_READ_ATTEMPTS = 5;

    private final Platform platform;

    ConfigurationStore(Platform platform) {
        this.platform = platform;
    }

    CompletableFuture<Long> version() {
        return platform.read(List.of(TicketRows.VERSION_ROW_KEY))
                .thenApply(rows -> rows.isEmpty() ? 0L : Long.parseLong(rows.get(0).value()));
    }

    /**
     * Reads a snapshot of all objects, with the row of a ticket if that ticket was accepted. The
     * pages of a scan are separate reads, so the scan is repeated if the version changed meanwhile.
     *
     * @param ticketNumber the number of the ticket, or 0 for none
     * @return the snapshot; fails with {@code PLATFORM_UNAVAILABLE} if the platform cannot be read
     *     or the configuration changes during every attempt
     */
    CompletableFuture<Snapshot> load(long ticketNumber) {
        return load(ticketNumber, 1);
    }

    private CompletableFuture<Snapshot> load(long ticketNumber, int attempt) {
        return readVersion()
                .thenCompose(
                        before ->
                                scanFrom("", new ArrayList<>())
                                        .thenCompose(
                                                objects ->
                                                        confirmVersion(
                                                                before,
                                                                objects,
                                                                ticketNumber,
                                                                attempt)));
    }

    private CompletableFuture<Optional<Row>> readVersion() {
        return platform.read(List.of(TicketRows.VERSION_ROW_KEY))
                .thenApply(rows -> rows.stream().findFirst());
    }

    private CompletableFuture<List<Row>> scanFrom(String afterKey, List<Row> found) {
        return platform.scan(TicketRows.OBJECTS_TABLE, "", afterKey, PAGE_ROWS)
                .thenCompose(
                        page -> {
                            found.addAll(page);
                            if (page.size() < PAGE_ROWS) {
                                return CompletableFuture.completedFuture(found);
                            }
                            return scanFrom(page.get(page.size() - 1).key().key(), found);
                        });
    }

    private CompletableFuture<Snapshot> confirmVersion(
            Optional<Row> before, List<Row> objects, long ticketNumber, int attempt) {
        RowKey ticket = TicketRows.ticketRowKey(ticketNumber);
        return platform.read(List.of(TicketRows.VERSION_ROW_KEY, ticket))
                .thenCompose(
                        rows -> {
                            Optional<Row> after = find(rows, TicketRows.VERSION_ROW_KEY);
                            if (after.equals(before)) {
                                return CompletableFuture.completedFuture(
                                        new Snapshot(after, find(rows, ticket), objects));
                            }
                            if (attempt >= MAXIMUM_READ_ATTEMPTS) {
                                throw new ResultException(
                                        ResultCode.PLATFORM_UNAVAILABLE,
                                        "the configuration changed during each attempt to read it");
                            }
                            return load(ticketNumber, attempt + 1);
                        });
    }

    private static Optional<Row> find(List<Row> rows, RowKey key) {
        return rows.stream().filter(row -> row.key().equals(key)).findFirst();
    }
}
