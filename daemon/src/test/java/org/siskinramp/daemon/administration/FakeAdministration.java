package org.siskinramp.daemon.administration;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.daemon.administration.command.AdministrationCommands;
import org.siskinramp.daemon.administration.command.PlaceReceipt;
import org.siskinramp.daemon.administration.command.TicketReceipt;
import org.siskinramp.daemon.administration.query.AdministrationQueries;
import org.siskinramp.daemon.administration.query.HostStatus;
import org.siskinramp.daemon.administration.query.PeerStatus;
import org.siskinramp.daemon.administration.query.RequestEvent;
import org.siskinramp.daemon.administration.query.RequestHistory;
import org.siskinramp.daemon.administration.query.RequestVerdict;
import org.siskinramp.daemon.administration.query.ServiceStatus;
import org.siskinramp.daemon.administration.query.TicketDetail;
import org.siskinramp.daemon.administration.query.TicketSummary;
import org.siskinramp.request.RequestKey;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Returns fixed results and records the commands. */
public final class FakeAdministration implements AdministrationCommands, AdministrationQueries {

    private static final TicketSummary TICKET = new TicketSummary(7, 12, 0);

    private final List<String> commands = new ArrayList<>();

    /** Returns the recorded commands in order. */
    public synchronized List<String> commands() {
        return List.copyOf(commands);
    }

    @Override
    public CompletableFuture<TicketReceipt> fileTicket(String json) {
        if (json.contains("stale")) {
            return CompletableFuture.failedFuture(
                    new ResultException(ResultCode.TICKET_STALE, "service=dispatch"));
        }
        if (json.contains("unavailable")) {
            return CompletableFuture.failedFuture(
                    new ResultException(ResultCode.PLATFORM_UNAVAILABLE, "store", 1_500));
        }
        return accept("ticket " + json);
    }

    @Override
    public CompletableFuture<PlaceReceipt> changeAvailabilityZone(
            String name, AdministrativeState state) {
        return acceptStateChange("availability zone ", name, state);
    }

    @Override
    public CompletableFuture<PlaceReceipt> changeHost(String name, AdministrativeState state) {
        return acceptStateChange("host ", name, state);
    }

    @Override
    public CompletableFuture<List<TicketSummary>> tickets() {
        return CompletableFuture.completedFuture(List.of(TICKET));
    }

    @Override
    public CompletableFuture<TicketDetail> ticket(long number) {
        if (number != TICKET.number()) {
            throw new ResultException(ResultCode.TICKET_UNKNOWN, "ticket " + number);
        }
        return CompletableFuture.completedFuture(
                new TicketDetail(
                        TICKET,
                        "{\"number\": 7}",
                        List.of("entry-1"),
                        List.of("entry-2"),
                        List.of()));
    }

    @Override
    public CompletableFuture<RequestHistory> request(RequestKey key) {
        return CompletableFuture.completedFuture(
                new RequestHistory(
                        key.caller(),
                        key.requestId(),
                        RequestVerdict.RAN_ONCE,
                        "the outcome is stored",
                        1,
                        List.of(new RequestEvent(5, "entry-1", "event=answer")),
                        List.of()));
    }

    @Override
    public CompletableFuture<HostStatus> status() {
        return CompletableFuture.completedFuture(
                new HostStatus(
                        "entry-1",
                        "almaty-1",
                        "i1",
                        true,
                        true,
                        12,
                        3,
                        5,
                        List.of(new PeerStatus("entry-2", 40, false, 11)),
                        List.of(new ServiceStatus("dispatch", 4, 2, 0))));
    }

    @Override
    public boolean isReady() {
        return false;
    }

    private synchronized CompletableFuture<TicketReceipt> accept(String command) {
        commands.add(command);
        return CompletableFuture.completedFuture(new TicketReceipt(7, 12, false));
    }

    private synchronized CompletableFuture<PlaceReceipt> acceptStateChange(
            String kind, String name, AdministrativeState state) {
        commands.add(kind + name + " " + state);
        return CompletableFuture.completedFuture(new PlaceReceipt(name, state, 13, true));
    }
}
