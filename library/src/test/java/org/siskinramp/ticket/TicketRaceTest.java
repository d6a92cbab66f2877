package org.siskinramp.ticket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.platform.FakePlatform;
import org.siskinramp.platform.FakePlatform.Fault;
import org.siskinramp.platform.Platform;
import org.siskinramp.platform.RewritingPlatform;
import org.siskinramp.platform.Write;
import org.siskinramp.time.VirtualTime;

/**
 * Operators file conflicting tickets through three hosts at once, while writes to the platform are
 * refused, lost or delayed, or their answers are lost. Guards against an accepted ticket that is
 * lost or reverted, and against two backend servers with the same address.
 */
final class TicketRaceTest {

    private static final int SEEDS = 100;
    private static final int STEPS = 80;
    private static final String SERVICE =
            "{\"number\": 1, \"services\": [{\"name\": \"portal\", \"path_prefix\": \"/portal\"}]}";
    private static final List<Fault> FAULTS = List.of(Fault.values());

    @Test
    void keepsAcceptedTicketsInForceDespiteFaults() {
        int accepted = 0;
        int refused = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Race race = new Race(seed, write -> write);
            assertEquals(List.of(), race.run(), "seed " + seed);
            accepted += race.accepted.size();
            refused += race.refused;
        }
        assertTrue(accepted > 10 * SEEDS, "accepted " + accepted);
        assertTrue(refused > 10 * SEEDS, "refused " + refused);
    }

    /**
     * Checks that the race detects shared addresses when writes do not depend on the version row.
     */
    @Test
    void sharesAddressesWithoutTheConditionOnTheVersion() {
        long shared = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            shared +=
                    new Race(seed, TicketRaceTest::withoutVersionCondition)
                            .run().stream().filter(text -> text.contains("share")).count();
        }
        assertTrue(shared > 0);
    }

    private static Write withoutVersionCondition(Write write) {
        return write.key().equals(TicketRows.VERSION_ROW_KEY)
                ? new Write(write.key(), write.value(), Write.ANY)
                : write;
    }

    private static final class Race {

        private final VirtualTime time = new VirtualTime();
        private final FakePlatform platform = new FakePlatform(time);
        private final UniformRandomProvider random;
        private final List<Tickets> operators = new ArrayList<>();
        private final List<ConfigurationFollower> followers = new ArrayList<>();
        private final Map<Long, SubmittedTicket> accepted = new TreeMap<>();
        private final Set<SubmittedTicket> filed = new HashSet<>();
        private final List<String> violations = new ArrayList<>();
        private int refused;

        Race(long seed, UnaryOperator<Write> rewrite) {
            random = RandomSource.SPLIT_MIX_64.create(seed);
            Platform seen = new RewritingPlatform(platform, rewrite);
            for (long index = 0; index < 3; index++) {
                Tickets tickets =
                        new Tickets(
                                seen, time, time, RandomSource.SPLIT_MIX_64.create(seed + index));
                operators.add(tickets);
                followers.add(follower(tickets, seed + index));
            }
        }

        private ConfigurationFollower follower(Tickets tickets, long seed) {
            List<Long> versions = new ArrayList<>(List.of(0L));
            return new ConfigurationFollower(
                    tickets,
                    time,
                    RandomSource.SPLIT_MIX_64.create(seed),
                    event -> {},
                    FollowerOptions.DEFAULT,
                    configuration -> {
                        if (configuration.version() <= versions.get(versions.size() - 1)) {
                            violations.add("version fell to " + configuration.version());
                        }
                        versions.add(configuration.version());
                        checkAddresses(configuration);
                    });
        }

        private void checkAddresses(Configuration configuration) {
            Set<String> addresses = new HashSet<>();
            for (BackendServer server : configuration.backendServers()) {
                if (!addresses.add(server.address())) {
                    violations.add("servers share " + server.address());
                }
            }
        }

        List<String> run() {
            followers.forEach(ConfigurationFollower::start);
            CompletableFuture<TicketReceipt> service = operators.get(0).file(SERVICE);
            time.advance(1_000);
            service.join();
            platform.setDefaultFault(this::fault);
            for (int step = 0; step < STEPS; step++) {
                platform.setDown(random.nextInt(8) == 0);
                long number = Math.max(2, step / 2 + random.nextInt(5) - 2);
                SubmittedTicket ticket =
                        new SubmittedTicket(
                                number, "s" + random.nextInt(5), 8001 + random.nextInt(6));
                filed.add(ticket);
                file(ticket, operators.get(random.nextInt(operators.size())));
                time.advance(random.nextInt(60));
            }
            platform.setDown(false);
            platform.setDefaultFault(() -> Fault.NONE);
            time.advance(60_000);
            collectEffectiveTickets();
            checkFinal();
            return violations;
        }

        private Fault fault() {
            return random.nextInt(10) < 7 ? Fault.NONE : FAULTS.get(random.nextInt(FAULTS.size()));
        }

        private void file(SubmittedTicket ticket, Tickets operator) {
            var unused =
                    operator.file(ticket.json())
                            .whenComplete(
                                    (receipt, failure) -> {
                                        if (failure == null) {
                                            accept(ticket);
                                        } else {
                                            refused++;
                                        }
                                    });
        }

        private void accept(SubmittedTicket ticket) {
            SubmittedTicket before = accepted.putIfAbsent(ticket.number(), ticket);
            if (before != null && !before.equals(ticket)) {
                violations.add("accepted both " + before + " and " + ticket);
            }
        }

        /** Finds out which tickets were accepted, including those reported as unconfirmed. */
        private void collectEffectiveTickets() {
            for (SubmittedTicket ticket : filed) {
                CompletableFuture<FiledTicket> shown = operators.get(0).show(ticket.number());
                time.advance(100);
                boolean effective =
                        !shown.isCompletedExceptionally()
                                && shown.join().content().contains(ticket.address());
                if (effective && shown.join().content().contains(ticket.server())) {
                    accept(ticket);
                } else if (ticket.equals(accepted.get(ticket.number()))) {
                    violations.add("lost " + ticket);
                }
            }
        }

        private void checkFinal() {
            Map<String, SubmittedTicket> last = new TreeMap<>();
            accepted.values().forEach(ticket -> last.put(ticket.server(), ticket));
            for (ConfigurationFollower follower : followers) {
                Configuration configuration = follower.current();
                checkAddresses(configuration);
                last.forEach(
                        (name, ticket) -> {
                            String address =
                                    configuration
                                            .backendServer(name)
                                            .map(BackendServer::address)
                                            .orElse("none");
                            if (!address.equals(ticket.address())) {
                                violations.add(ticket + " reverted to " + address);
                            }
                        });
            }
        }
    }

    private record SubmittedTicket(long number, String server, int port) {

        String address() {
            return "127.0.0.1:" + port;
        }

        String json() {
            return """
                   {"number": %d,
                    "backend_servers": [{"name": "%s", "service": "portal", "host": "h-1",
                      "availability_zone": "almaty-1", "address": "%s", "slots": 4}]}
                   """
                    .formatted(number, server, address());
        }
    }
}
