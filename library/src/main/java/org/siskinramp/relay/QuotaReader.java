package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.siskinramp.peer.QuotaAsk;
import org.siskinramp.peer.QuotaGrant;
import org.siskinramp.peer.QuotaNeed;
import org.siskinramp.peer.QuotaSurplus;
import org.siskinramp.peer.QuotaTokens;
import org.siskinramp.quota.BalancerSelector;
import org.siskinramp.quota.NeededWorkspaces;
import org.siskinramp.quota.QuotaBalance;
import org.siskinramp.quota.QuotaPool;
import org.siskinramp.quota.QuotaTable;
import org.siskinramp.quota.TokenClock;
import org.siskinramp.quota.TransitBounds;

/**
 * The part of the {@link QuotaRelay} at a reader: passes tokens on between the hosts of its group,
 * and between groups through the readers that balance workspaces. Not thread-safe; guarded by the
 * lock of the relay.
 */
final class QuotaReader {

    private static final int SURPLUS_INTERVAL_TICKS = 10;
    private static final int ANNOUNCEMENT_INTERVAL_TICKS = 20;

    private final TransitBounds bounds;
    private final QuotaPool pool;
    private final QuotaBalance balance;
    private final BalancerSelector balancers;
    private final NeededWorkspaces neededByGroups;
    private final NeededWorkspaces neededByReaders;
    private final String self;
    private int ticks;

    QuotaReader(String self, QuotaTable table, TokenClock clock, TransitBounds bounds) {
        this.self = self;
        this.bounds = bounds;
        pool = new QuotaPool(table, clock);
        balance = new QuotaBalance(table, clock);
        balancers = new BalancerSelector(self, clock);
        neededByGroups = new NeededWorkspaces(table, clock);
        neededByReaders = new NeededWorkspaces(table, clock);
    }

    void onSurplus(String host, QuotaSurplus surplus, OptionalLong transit, QuotaOutbox outbox) {
        balancers.recordReceived(host);
        if (surplus.fromReader()) {
            transit.ifPresent(bound -> balance.add(surplus.tokens(), bound));
            outbox.announce(host, true, List.of());
        } else {
            transit.ifPresent(bound -> addToPool(surplus.tokens(), bound, outbox));
        }
    }

    private void addToPool(List<QuotaTokens> tokens, long transit, QuotaOutbox outbox) {
        pool.add(tokens, transit).forEach((host, granted) -> outbox.grant(host, false, granted));
    }

    void onAsk(String host, QuotaAsk ask, QuotaOutbox outbox) {
        balancers.recordReceived(host);
        List<String> workspaces = ask.needs().stream().map(QuotaNeed::workspace).toList();
        if (ask.fromReader()) {
            neededByReaders.add(workspaces);
            outbox.grant(host, true, balance.ask(host, ask.needs()));
            return;
        }
        neededByGroups.add(workspaces);
        List<QuotaTokens> granted = pool.ask(host, ask.needs());
        if (!granted.isEmpty()) {
            outbox.grant(host, false, granted);
        }
        askBalancers(outbox);
    }

    void onGrant(String host, QuotaGrant grant, OptionalLong transit, QuotaOutbox outbox) {
        balancers.recordReceived(host);
        neededByGroups.add(grant.neededWorkspaces());
        transit.ifPresent(bound -> addToPool(grant.tokens(), bound, outbox));
    }

    private void askBalancers(QuotaOutbox outbox) {
        Map<String, List<QuotaNeed>> byBalancer = new LinkedHashMap<>();
        for (QuotaNeed need : pool.takeNeeds()) {
            byBalancer
                    .computeIfAbsent(
                            balancers.balancerOf(need.workspace()), name -> new ArrayList<>())
                    .add(need);
        }
        byBalancer.forEach((balancer, needs) -> askBalancer(balancer, needs, outbox));
    }

    private void askBalancer(String balancer, List<QuotaNeed> needs, QuotaOutbox outbox) {
        if (!balancer.equals(self)) {
            balancers.recordSent(balancer);
        }
        outbox.ask(balancer, true, needs);
    }

    /** Runs periodic work while this host is a reader. */
    void tick(List<String> otherReaders, List<String> subscribers, QuotaOutbox outbox) {
        ticks++;
        balancers.updateReaders(otherReaders);
        boolean isDue = ticks % ANNOUNCEMENT_INTERVAL_TICKS == 0;
        if (neededByReaders.takeNew() || isDue) {
            announce(neededByReaders, otherReaders, true, outbox);
        }
        boolean hasNew = neededByGroups.takeNew();
        if (hasNew || isDue) {
            announce(neededByGroups, subscribers, false, outbox);
        }
        if (hasNew || ticks % SURPLUS_INTERVAL_TICKS == 0) {
            giveSurplus(outbox);
        }
        askBalancers(outbox);
    }

    private void announce(
            NeededWorkspaces needed, List<String> hosts, boolean toReader, QuotaOutbox outbox) {
        List<String> workspaces = needed.current();
        if (!workspaces.isEmpty()) {
            hosts.forEach(host -> outbox.announce(host, toReader, workspaces));
            outbox.announce(self, toReader, workspaces);
        }
    }

    private void giveSurplus(QuotaOutbox outbox) {
        Map<String, List<QuotaTokens>> byBalancer = new LinkedHashMap<>();
        List<String> needed = neededByGroups.current();
        for (String workspace : needed) {
            String balancer = balancers.balancerOf(workspace);
            List<QuotaTokens> surplus =
                    byBalancer.computeIfAbsent(balancer, name -> new ArrayList<>());
            if (balancer.equals(self) || bounds.hasHeard(balancer)) {
                pool.takeSurplus(workspace).ifPresent(surplus::add);
            }
        }
        byBalancer.forEach(
                (balancer, surplus) -> {
                    if (!balancer.equals(self)) {
                        balancers.recordSent(balancer);
                    }
                    outbox.surplus(balancer, true, surplus);
                });
        if (!needed.isEmpty()) {
            balancers.takeProbes().forEach(host -> outbox.surplus(host, true, List.of()));
        }
    }
}
