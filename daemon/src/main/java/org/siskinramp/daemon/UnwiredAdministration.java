package org.siskinramp.daemon;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.configuration.ServiceState;
import org.siskinramp.daemon.administration.command.AdministrationCommands;
import org.siskinramp.daemon.administration.command.TicketReceipt;
import org.siskinramp.daemon.administration.query.AdministrationQueries;
import org.siskinramp.daemon.administration.query.HostStatus;
import org.siskinramp.daemon.administration.query.RequestHistory;
import org.siskinramp.daemon.administration.query.TicketDetail;
import org.siskinramp.daemon.administration.query.TicketSummary;
import org.siskinramp.request.RequestKey;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Refuses all commands and queries until the parts that answer them are wired in. */
final class UnwiredAdministration implements AdministrationCommands, AdministrationQueries {

    @Override
    public CompletableFuture<TicketReceipt> fileTicket(String json) {
        return refused();
    }

    @Override
    public CompletableFuture<TicketReceipt> changeAvailabilityZone(
            String name, ServiceState state) {
        return refused();
    }

    @Override
    public CompletableFuture<TicketReceipt> changeHost(String name, ServiceState state) {
        return refused();
    }

    @Override
    public CompletableFuture<List<TicketSummary>> tickets() {
        return refused();
    }

    @Override
    public CompletableFuture<TicketDetail> ticket(long number) {
        return refused();
    }

    @Override
    public CompletableFuture<RequestHistory> request(RequestKey key) {
        return refused();
    }

    @Override
    public CompletableFuture<HostStatus> status() {
        return refused();
    }

    @Override
    public boolean isReady() {
        return false;
    }

    private static <T> CompletableFuture<T> refused() {
        return CompletableFuture.failedFuture(
                new ResultException(
                        ResultCode.NO_AUTHORITY, "this part of the entry host is not wired in"));
    }
}
