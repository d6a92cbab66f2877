package org.siskinramp.daemon;

import jakarta.inject.Inject;
import java.util.concurrent.CompletableFuture;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.daemon.administration.command.AdministrationCommands;
import org.siskinramp.daemon.administration.command.PlaceReceipt;
import org.siskinramp.daemon.administration.command.TicketReceipt;
import org.siskinramp.host.EntryHost;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.ticket.LocationKind;

/** Executes operators' commands while this entry host has authority, and refuses them otherwise. */
final class LibraryCommands implements AdministrationCommands {

    private final EntryHost entryHost;

    @Inject
    LibraryCommands(EntryHost entryHost) {
        this.entryHost = entryHost;
    }

    @Override
    public CompletableFuture<TicketReceipt> fileTicket(String json) {
        requireAuthority();
        return entryHost
                .tickets()
                .file(json)
                .thenApply(
                        receipt -> {
                            entryHost.announceConfiguration(receipt.version());
                            return new TicketReceipt(
                                    receipt.number(), receipt.version(), receipt.repeated());
                        });
    }

    @Override
    public CompletableFuture<PlaceReceipt> changeAvailabilityZone(
            String name, AdministrativeState state) {
        return changeLocationState(LocationKind.AVAILABILITY_ZONE, name, state);
    }

    @Override
    public CompletableFuture<PlaceReceipt> changeHost(String name, AdministrativeState state) {
        return changeLocationState(LocationKind.HOST, name, state);
    }

    private CompletableFuture<PlaceReceipt> changeLocationState(
            LocationKind kind, String name, AdministrativeState state) {
        requireAuthority();
        return entryHost
                .tickets()
                .changeLocationState(kind, name, state)
                .thenApply(
                        receipt -> {
                            entryHost.announceConfiguration(receipt.version());
                            return new PlaceReceipt(
                                    name, state, receipt.version(), receipt.repeated());
                        });
    }

    private void requireAuthority() {
        if (!entryHost.hasAuthority()) {
            throw new ResultException(
                    ResultCode.NO_AUTHORITY,
                    "no majority of the entry hosts acknowledges its heartbeats");
        }
    }
}
