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

/** Reads all object rows as they were at one version. */
final class ConfigurationStore {

    private static final int PAGE_ROWS = 1_000;
    private static final int MOST_READINGS = 5;

    private final Platform platform;

    ConfigurationStore(Platform platform) {
        this.platform = platform;
    }

    CompletableFuture<Long> version() {
        return platform.read(List.of(TicketRows.VERSION))
                .thenApply(rows -> rows.isEmpty() ? 0L : Long.parseLong(rows.get(0).value()));
    }

    /**
     * Reads a snapshot, and whether a ticket was accepted by then.
     *
     * @param ticketNumber the ticket, or 0
     */
    CompletableFuture<Snapshot> load(long ticketNumber) {
        return load(ticketNumber, 1);
    }

    private CompletableFuture<Snapshot> load(long ticketNumber, int reading) {
        return readVersion()
                .thenCompose(
                        before ->
                                scanFrom("", new ArrayList<>())
                                        .thenCompose(
                                                objects ->
                                                        confirm(
                                                                before,
                                                                objects,
                                                                ticketNumber,
                                                                reading)));
    }

    private CompletableFuture<Optional<Row>> readVersion() {
        return platform.read(List.of(TicketRows.VERSION))
                .thenApply(rows -> rows.stream().findFirst());
    }

    private CompletableFuture<List<Row>> scanFrom(String afterKey, List<Row> found) {
        return platform.scan(TicketRows.OBJECTS, "", afterKey, PAGE_ROWS)
                .thenCompose(
                        page -> {
                            found.addAll(page);
                            if (page.size() < PAGE_ROWS) {
                                return CompletableFuture.completedFuture(found);
                            }
                            return scanFrom(page.get(page.size() - 1).key().key(), found);
                        });
    }

    private CompletableFuture<Snapshot> confirm(
            Optional<Row> before, List<Row> objects, long ticketNumber, int reading) {
        RowKey ticket = TicketRows.ticket(ticketNumber);
        return platform.read(List.of(TicketRows.VERSION, ticket))
                .thenCompose(
                        rows -> {
                            Optional<Row> after = find(rows, TicketRows.VERSION);
                            if (after.equals(before)) {
                                return CompletableFuture.completedFuture(
                                        new Snapshot(after, find(rows, ticket), objects));
                            }
                            if (reading >= MOST_READINGS) {
                                throw new ResultException(
                                        ResultCode.PLATFORM_UNAVAILABLE,
                                        "the configuration changed during each reading");
                            }
                            return load(ticketNumber, reading + 1);
                        });
    }

    private static Optional<Row> find(List<Row> rows, RowKey key) {
        return rows.stream().filter(row -> row.key().equals(key)).findFirst();
    }
}
