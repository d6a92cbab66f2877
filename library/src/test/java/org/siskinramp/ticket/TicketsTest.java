package org.siskinramp.ticket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.platform.FakePlatform;
import org.siskinramp.platform.FakePlatform.Fault;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.time.VirtualTime;

final class TicketsTest {

    private final VirtualTime time = new VirtualTime();
    private final FakePlatform platform = new FakePlatform(time);
    private final Tickets tickets =
            new Tickets(platform, time, time, RandomSource.SPLIT_MIX_64.create(1L));

    private static String server(long number, String name, int port) {
        return """
               {"number": %d,
                "services": [{"name": "s-%s", "path_prefix": "/%s"}],
                "backend_servers": [{"name": "%s", "service": "s-%s", "host": "h-1",
                  "availability_zone": "almaty-1", "address": "127.0.0.1:%d", "slots": 4}]}
               """
                .formatted(number, name, name, name, name, port);
    }

    private static String host(long number, String state) {
        return "{\"number\": %d, \"hosts\": [{\"name\": \"h-1\", \"state\": \"%s\"}]}"
                .formatted(number, state);
    }

    private <T> T value(CompletableFuture<T> future) {
        time.advanceUntil(future::isDone, 30_000);
        return future.join();
    }

    private ResultCode code(CompletableFuture<?> future) {
        time.advanceUntil(future::isDone, 30_000);
        assertTrue(future.isCompletedExceptionally());
        return ResultException.from(future.handle((value, failure) -> failure).join()).code();
    }

    @Test
    void returnsTheSameReceiptForTheSameTicket() {
        assertEquals(new TicketReceipt(5, 1, false), value(tickets.file(server(5, "a", 8001))));
        assertEquals(new TicketReceipt(5, 1, true), value(tickets.file(server(5, "a", 8001))));
        assertEquals(ResultCode.TICKET_CONFLICT, code(tickets.file(server(5, "a", 8002))));
        assertEquals(1, value(tickets.load()).version());
        assertEquals(1, value(tickets.show(5)).version());
        assertEquals(ResultCode.TICKET_UNKNOWN, code(tickets.show(6)));
        assertEquals(5, value(tickets.list(0, 10)).get(0).number());
    }

    @Test
    void refusesATicketBelowTheLastOneOfAnObject() {
        value(tickets.file(server(5, "a", 8001)));
        assertEquals(ResultCode.TICKET_STALE, code(tickets.file(server(4, "a", 8002))));
        value(tickets.file(server(3, "b", 8002)));
        assertEquals(2, value(tickets.load()).version());
    }

    @Test
    void refusesTicketsThatMakeTheConfigurationInconsistent() {
        value(tickets.file(server(1, "a", 8001)));
        assertEquals(ResultCode.TICKET_INVALID, code(tickets.file(server(2, "b", 8001))));
        String removal =
                "{\"number\": 3, \"services\": [{\"name\": \"s-a\", \"path_prefix\": \"/a\","
                        + " \"state\": \"removed\"}]}";
        assertEquals(ResultCode.TICKET_INVALID, code(tickets.file(removal)));
        assertEquals(1, value(tickets.load()).version());
    }

    @Test
    void letsOneOfTwoRacingTicketsWithOneAddressWin() {
        CompletableFuture<TicketReceipt> one = tickets.file(server(1, "a", 8001));
        CompletableFuture<TicketReceipt> two = tickets.file(server(2, "b", 8001));
        CompletableFuture<TicketReceipt> three = tickets.file(server(3, "c", 8003));
        time.advance(30_000);
        assertTrue(one.isCompletedExceptionally() != two.isCompletedExceptionally());
        assertFalse(three.isCompletedExceptionally());
        assertEquals(2, value(tickets.load()).backendServers().size());
    }

    @Test
    void completesAChangeAfterALostAnswer() {
        platform.failNextWrites(Fault.ANSWER_LOST);
        assertEquals(new TicketReceipt(1, 1, false), value(tickets.file(server(1, "a", 8001))));
        platform.setLateMilliseconds(60_000);
        platform.failNextWrites(Fault.WRITE_LATE);
        assertEquals(new TicketReceipt(2, 2, false), value(tickets.file(server(2, "b", 8002))));
        time.advance(60_000);
        assertEquals(2, value(tickets.load()).version());
    }

    @Test
    void reportsAnUnconfirmedTicket() {
        platform.failNextWrites(Fault.ANSWER_LOST);
        CompletableFuture<TicketReceipt> unconfirmed = tickets.file(server(1, "a", 8001));
        time.advanceUntil(() -> platform.row("configuration", "version").isPresent(), 1_000);
        platform.setDown(true);
        assertEquals(ResultCode.TICKET_UNCONFIRMED, code(unconfirmed));
        assertEquals(ResultCode.PLATFORM_UNAVAILABLE, code(tickets.file(server(2, "b", 8002))));
        platform.setDown(false);
        assertEquals(new TicketReceipt(1, 1, true), value(tickets.file(server(1, "a", 8001))));
        assertEquals(1, value(tickets.load()).version());
    }

    @Test
    void takesLocationsOutOfService() {
        value(tickets.file(server(1, "a", 8001)));
        assertEquals(
                new LocationReceipt(2, false),
                value(
                        tickets.changeLocationState(
                                LocationKind.AVAILABILITY_ZONE,
                                "almaty-1",
                                AdministrativeState.OUT)));
        assertEquals(
                new LocationReceipt(2, true),
                value(
                        tickets.changeLocationState(
                                LocationKind.AVAILABILITY_ZONE,
                                "almaty-1",
                                AdministrativeState.OUT)));
        assertEquals(
                ResultCode.OBJECT_UNKNOWN,
                code(
                        tickets.changeLocationState(
                                LocationKind.HOST, "h-9", AdministrativeState.OUT)));
        Configuration configuration = value(tickets.load());
        assertFalse(configuration.takesNewWork(configuration.backendServer("a").orElseThrow()));
    }

    @Test
    void keepsTheLastTicketNumberOfALocation() {
        value(tickets.file(host(5, "in")));
        value(tickets.changeLocationState(LocationKind.HOST, "h-1", AdministrativeState.OUT));
        assertEquals(ResultCode.TICKET_STALE, code(tickets.file(host(4, "in"))));
        value(tickets.file(host(6, "in")));
        assertEquals(3, value(tickets.load()).version());
    }

    @Test
    void doesNotRetryALocationChangeAfterALaterOne() {
        value(tickets.file(host(1, "in")));
        platform.failNextWrites(Fault.ANSWER_LOST);
        CompletableFuture<LocationReceipt> out =
                tickets.changeLocationState(LocationKind.HOST, "h-1", AdministrativeState.OUT);
        time.advanceUntil(
                () -> platform.row("objects", "host/h-1").orElseThrow().version() == 2, 1_000);
        CompletableFuture<LocationReceipt> in =
                tickets.changeLocationState(LocationKind.HOST, "h-1", AdministrativeState.IN);
        platform.failNextWrites(Fault.NONE);
        time.advance(30_000);
        assertTrue(out.isDone() && in.isDone());
        assertEquals(
                AdministrativeState.IN, value(tickets.load()).host("h-1").orElseThrow().state());
    }

    @Test
    void notifiesOfIncreasingVersions() {
        List<Long> versions = new ArrayList<>();
        ConfigurationFollower follower =
                new ConfigurationFollower(
                        tickets,
                        time,
                        RandomSource.SPLIT_MIX_64.create(2L),
                        event -> {},
                        FollowerOptions.DEFAULT,
                        configuration -> versions.add(configuration.version()));
        platform.setDown(true);
        follower.start();
        time.advance(10_000);
        platform.setDown(false);
        value(tickets.file(server(1, "a", 8001)));
        time.advance(2_100);
        assertEquals(List.of(1L), versions);
        value(tickets.file(server(2, "b", 8002)));
        follower.readIfNewer(2);
        time.advance(50);
        assertEquals(List.of(1L, 2L), versions);
        platform.setDown(true);
        time.advance(10_000);
        assertEquals(2, follower.current().version());
    }
}
