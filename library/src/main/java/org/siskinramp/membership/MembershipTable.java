package org.siskinramp.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.peer.Acknowledgement;
import org.siskinramp.peer.Heartbeat;
import org.siskinramp.peer.SlotRelease;
import org.siskinramp.slot.SlotHoldings;
import org.siskinramp.slot.SlotKey;
import org.siskinramp.slot.SlotMap;

/**
 * Holds the state of the membership and its rules. Every change is made between {@link #expire} and
 * {@link #refresh}, under the lock of {@link Membership}.
 */
final class MembershipTable {

    private static final long NEVER = Long.MIN_VALUE / 4;
    private static final long PEER_MEMORY_MILLISECONDS = 600_000;

    private final String self;
    private final String incarnation;
    private final MembershipOptions options;
    private final Promises promises;
    private final Members members;
    private final Configurations configurations;
    private final Ownership ownership;
    private final TimeLimits limits = new TimeLimits();
    private final Claims claims;
    private final Map<String, PeerState> peers = new HashMap<>();
    private final Map<String, Span> suspicions = new HashMap<>();
    private final Span authority = new Span();
    private Set<SlotKey> owned = Set.of();
    private boolean holding;
    private boolean stopping;
    private long usableUntil = NEVER;
    private long holdingsRevision;

    MembershipTable(String self, String incarnation, MembershipOptions options, long startedAt) {
        this.self = self;
        this.incarnation = incarnation;
        this.options = options;
        promises = new Promises(options, startedAt);
        members = new Members(self, options);
        configurations = new Configurations(options);
        ownership = new Ownership(self);
        claims = new Claims(options, limits);
    }

    SlotMap slotMap() {
        return ownership.map();
    }

    /** Ends every right whose time has passed, before anything new is taken into account. */
    void expire(long now) {
        authority.expire(now);
        suspicions.values().forEach(suspicion -> suspicion.expire(now));
        reconcile(Math.min(now, usableUntil), now);
    }

    /** Takes up every right that follows from what is known now. */
    void refresh(long now) {
        promises.sayOnce(now);
        boolean wasSettled = members.isSettled();
        members.settle(peers, now);
        if (members.isSettled() && !wasSettled) {
            watch(now);
        }
        authority.extend(authorityEnd(now), now);
        extendSuspicions(now);
        reconcile(now, now);
        if (holding) {
            claims.acquire(claim -> clearance(claim), now);
        }
        claims.prune(now);
        usableUntil = usableEnd();
    }

    void applyView(MembershipView view, long now) {
        if (view.version() <= members.view().version()) {
            return;
        }
        holdingsRevision++;
        boolean isNext = view.version() == members.view().version() + 1;
        members.apply(view, now);
        watch(now);
        if (!isNext) {
            claims.keepOnly(Set.of(), now, heard());
            owned = Set.of();
        }
        ownership.apply(configurations.configuration(), view);
    }

    void applyConfiguration(Configuration configuration, long now) {
        if (configuration.version() <= configurations.configuration().version()) {
            return;
        }
        holdingsRevision++;
        Set<String> newServers = new HashSet<>();
        for (BackendServer server : configuration.backendServers()) {
            if (!limits.isKnown(server.name())) {
                newServers.add(server.name());
            }
        }
        OptionalLong unbornClear = holding ? clearance(claims.unborn()) : OptionalLong.empty();
        configurations.apply(configuration, now);
        limits.apply(configuration, now);
        ownership.apply(configuration, members.view());
        for (SlotKey slot : ownership.owned()) {
            if (newServers.contains(slot.backendServer())) {
                claims.noteNew(slot, unbornClear, now);
            }
        }
    }

    void applyList(Set<String> listed, long now) {
        members.applyList(listed, now);
    }

    /** Tells whether a heartbeat breaks the rule that the versions of an incarnation only rise. */
    boolean fallsBack(String host, Heartbeat heartbeat) {
        PeerState peer = peers.get(host);
        return peer != null && peer.fallsBack(heartbeat);
    }

    void receive(String host, Heartbeat heartbeat, long now) {
        PeerState peer = peers.computeIfAbsent(host, any -> new PeerState());
        if (!peer.isNews(heartbeat, leaseTerm(), now)) {
            return;
        }
        peer.hear(heartbeat, incarnation, options.leaseTermMilliseconds(), now);
        if (heartbeat.viewVersion() >= members.view().version()
                && heartbeat.configurationVersion() >= configurations.requiredVersion(now)) {
            promises.hear(host, peer.latest(), now);
        }
        if (isAligned(peer)) {
            claims.align(host, peer.echoedMilliseconds(), now);
        }
    }

    void receive(String host, SlotRelease release, long now) {
        if (release.stopping()) {
            promises.signOff(host, release.incarnation(), now);
        }
        int known = Math.min(release.slots().size(), release.heard().size());
        for (int position = 0; position < known; position++) {
            Acknowledgement heard = release.heard().get(position);
            SlotRelease.ReleasedSlot slot = release.slots().get(position);
            if (heard.incarnation().equals(incarnation)) {
                claims.offer(
                        new SlotKey(slot.backendServer(), slot.index()), heard.sentMilliseconds());
            }
        }
    }

    /** Gives up all rights for good. */
    void stop() {
        stopping = true;
    }

    /** Marks a slot as released if this host has given it up. */
    Optional<Hold> release(SlotKey slot) {
        return claims.release(slot, stopping);
    }

    Heartbeat heartbeat(String host, HeartbeatContribution contribution, long now) {
        return new Heartbeat(
                incarnation,
                now,
                members.view().version(),
                configurations.configuration().version(),
                promises.acknowledgement(host).stream().toList(),
                promises.suspected(),
                contribution.allowances(),
                contribution.judgedServers(),
                contribution.spares());
    }

    SlotHoldings holdings() {
        return new SlotHoldings(
                holding ? claims.held() : Set.of(),
                configurations.configuration().version(),
                members.view().version());
    }

    /** Returns a number that changes whenever the holdings may have changed. */
    long holdingsRevision() {
        return holdingsRevision + claims.heldRevision();
    }

    /** Returns until when the holdings may be used if nothing new is heard. */
    long usableUntil() {
        return usableUntil;
    }

    List<PeerVersion> versions(long now) {
        return members.peers().stream()
                .filter(host -> peers.containsKey(host) && peers.get(host).isHeard())
                .map(
                        host -> {
                            PeerState peer = peers.get(host);
                            return new PeerVersion(
                                    host,
                                    peer.viewVersion(),
                                    peer.configurationVersion(),
                                    now - peer.heardAt());
                        })
                .toList();
    }

    Members members() {
        return members;
    }

    Configuration configuration() {
        return configurations.configuration();
    }

    Optional<String> otherOwner(SlotKey slot) {
        return ownership.otherOwner(slot);
    }

    boolean isStopping() {
        return stopping;
    }

    private void watch(long now) {
        promises.watch(members.peers(), now);
        peers.entrySet().removeIf(peer -> isForgettable(peer.getKey(), peer.getValue(), now));
        suspicions.keySet().retainAll(members.peers());
        members.peers().forEach(host -> suspicions.computeIfAbsent(host, any -> new Span()));
    }

    private boolean isForgettable(String host, PeerState peer, long now) {
        return !members.all().contains(host) && now - peer.heardAt() > PEER_MEMORY_MILLISECONDS;
    }

    private boolean isAligned(PeerState peer) {
        return peer.viewVersion() == members.view().version()
                && peer.configurationVersion() == configurations.configuration().version();
    }

    private long authorityEnd(long now) {
        if (stopping || !members.containsSelf()) {
            return NEVER;
        }
        return members.majorityUntil(
                host -> host.equals(self) ? now + leaseTerm() : acknowledgedUntil(host));
    }

    private long acknowledgedUntil(String host) {
        PeerState peer = peers.get(host);
        return peer == null ? NEVER : peer.echoedMilliseconds() + leaseTerm();
    }

    /** Counts the votes only against hosts that some member suspects. */
    private void extendSuspicions(long now) {
        Set<String> suspected = new HashSet<>(promises.suspected());
        for (PeerState peer : peers.values()) {
            peer.addSuspectedTo(suspected);
        }
        suspicions.forEach(
                (host, suspicion) ->
                        suspicion.extend(
                                suspected.contains(host) ? suspicionEnd(host) : NEVER, now));
    }

    private long suspicionEnd(String suspect) {
        return members.majorityUntil(
                host ->
                        host.equals(self)
                                ? promises.suspectsUntil(suspect)
                                : suspectedUntil(suspect, host));
    }

    private long suspectedUntil(String suspect, String host) {
        PeerState peer = peers.get(host);
        return peer == null ? NEVER : peer.suspectsUntil(suspect);
    }

    private long usableEnd() {
        long end = authority.isActive() ? authority.until() : NEVER;
        for (String predecessor : ownership.predecessors()) {
            end = Math.min(end, suspicions.get(predecessor).until());
        }
        return end;
    }

    private void reconcile(long heldUntil, long now) {
        Set<String> suspected = new HashSet<>();
        suspicions.forEach(
                (host, suspicion) -> {
                    if (suspicion.isActive()) {
                        suspected.add(host);
                    }
                });
        ownership.suspect(suspected);
        boolean active = authority.isActive();
        if (holding && !active) {
            claims.end(heldUntil, heard());
        }
        boolean changed = !owned.equals(ownership.owned()) || stopping;
        owned = stopping ? Set.of() : ownership.owned();
        if (changed) {
            claims.keepOnly(owned, heldUntil, heard());
        }
        if (!holding && active) {
            claims.begin(owned, now);
        } else if (active && changed) {
            claims.claim(owned, now);
        }
        if (holding != active) {
            holdingsRevision++;
        }
        holding = active;
    }

    private OptionalLong clearance(Claim claim) {
        if (!options.has(Safeguard.ALIGNMENT)) {
            return OptionalLong.of(claim.startedAt());
        }
        long since = Math.max(claim.startedAt(), members.settledAt());
        for (String peer : members.peers()) {
            OptionalLong clear = clearSince(peer, claim);
            if (clear.isEmpty()) {
                return OptionalLong.empty();
            }
            since = Math.max(since, clear.getAsLong());
        }
        return OptionalLong.of(since);
    }

    private OptionalLong clearSince(String peer, Claim claim) {
        if (claim.isAligned(peer)) {
            return OptionalLong.of(claim.alignedAt(peer));
        }
        Span suspicion = suspicions.get(peer);
        return suspicion.isActive()
                ? OptionalLong.of(suspicion.since())
                : members.stoppedSince(peer);
    }

    private Map<String, Acknowledgement> heard() {
        Map<String, Acknowledgement> heard = new HashMap<>();
        peers.forEach((host, peer) -> heard.put(host, peer.latest()));
        return heard;
    }

    private long leaseTerm() {
        return options.leaseTermMilliseconds();
    }
}
