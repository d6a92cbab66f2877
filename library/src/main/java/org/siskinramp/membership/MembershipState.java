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
 * Holds the state of the membership and applies its rules. Each change is made after a call of
 * {@link #expire} and before one of {@link #refresh}, under the lock of {@link Membership}.
 */
final class MembershipState {

    /** Stands for "never"; far enough from the limit that sums and differences do not overflow. */
    private static final long DISTANT_PAST_MILLISECONDS = Long.MIN_VALUE / 4;

    private static final long PEER_RETENTION_MILLISECONDS = 600_000;

    private final String self;
    private final String incarnation;
    private final MembershipOptions options;
    private final Promises promises;
    private final ViewState viewState;
    private final ConfigurationHistory configurationHistory;
    private final Ownership ownership;
    private final TimeLimitHistory timeLimits = new TimeLimitHistory();
    private final SlotClaims claims;
    private final Map<String, PeerState> peers = new HashMap<>();
    private final Map<String, ValidityPeriod> suspicions = new HashMap<>();
    private final ValidityPeriod authority = new ValidityPeriod();
    private Set<SlotKey> ownedSlots = Set.of();
    private boolean hadAuthority;
    private boolean stopping;
    private long usableUntil = DISTANT_PAST_MILLISECONDS;
    private long holdingsRevision;

    MembershipState(String self, String incarnation, MembershipOptions options, long startedAt) {
        this.self = self;
        this.incarnation = incarnation;
        this.options = options;
        promises = new Promises(options, startedAt);
        viewState = new ViewState(self, options);
        configurationHistory = new ConfigurationHistory(options);
        ownership = new Ownership(self);
        claims = new SlotClaims(options, timeLimits);
    }

    SlotMap slotMap() {
        return ownership.map();
    }

    /**
     * Ends the authority, the suspicions and the holdings whose time has passed. Must be called
     * before a change is applied.
     */
    void expire(long now) {
        authority.expire(now);
        suspicions.values().forEach(suspicion -> suspicion.expire(now));
        reconcile(Math.min(now, usableUntil), now);
    }

    /**
     * Extends the authority and the suspicions, and acquires the slots that this host may now use.
     */
    void refresh(long now) {
        promises.updateSuspicions(now);
        boolean wasSettled = viewState.isSettled();
        viewState.settle(peers, now);
        if (viewState.isSettled() && !wasSettled) {
            monitorPeers(now);
        }
        authority.extend(authorityEnd(now), now);
        extendSuspicions(now);
        reconcile(now, now);
        if (hadAuthority) {
            claims.acquireFreeSlots(claim -> exclusiveSince(claim), now);
        }
        claims.removeExpired(now);
        usableUntil = usableEnd();
    }

    void applyView(MembershipView view, long now) {
        if (view.version() <= viewState.view().version()) {
            return;
        }
        holdingsRevision++;
        boolean isNext = view.version() == viewState.view().version() + 1;
        viewState.apply(view, now);
        monitorPeers(now);
        if (!isNext) {
            claims.retainOwned(Set.of(), now, latestHeartbeats());
            ownedSlots = Set.of();
        }
        ownership.apply(configurationHistory.configuration(), view);
    }

    void applyConfiguration(Configuration configuration, long now) {
        if (configuration.version() <= configurationHistory.configuration().version()) {
            return;
        }
        holdingsRevision++;
        Set<String> newServers = new HashSet<>();
        for (BackendServer server : configuration.backendServers()) {
            if (!timeLimits.isKnown(server.name())) {
                newServers.add(server.name());
            }
        }
        OptionalLong futureSlotsExclusiveSince =
                hadAuthority ? exclusiveSince(claims.futureSlotsClaim()) : OptionalLong.empty();
        configurationHistory.apply(configuration, now);
        timeLimits.apply(configuration, now);
        ownership.apply(configuration, viewState.view());
        for (SlotKey slot : ownership.owned()) {
            if (newServers.contains(slot.backendServer())) {
                claims.recordNewSlot(slot, futureSlotsExclusiveSince, now);
            }
        }
    }

    void applyHostList(Set<String> listed, long now) {
        viewState.applyHostList(listed, now);
    }

    /**
     * Returns whether a heartbeat breaks the rule that the versions of an incarnation never
     * decrease.
     */
    boolean hasLowerVersions(String host, Heartbeat heartbeat) {
        PeerState peer = peers.get(host);
        return peer != null && peer.hasLowerVersions(heartbeat);
    }

    void receive(String host, Heartbeat heartbeat, long now) {
        PeerState peer = peers.computeIfAbsent(host, any -> new PeerState());
        if (!peer.isNewer(heartbeat, leaseTerm(), now)) {
            return;
        }
        peer.recordHeartbeat(heartbeat, incarnation, options.leaseTermMilliseconds(), now);
        if (heartbeat.viewVersion() >= viewState.view().version()
                && heartbeat.configurationVersion() >= configurationHistory.requiredVersion(now)) {
            promises.recordHeartbeat(host, peer.latestHeartbeat(), now);
        }
        if (isAligned(peer)) {
            claims.recordAlignment(host, peer.acknowledgedMilliseconds(), now);
        }
    }

    void receive(String host, SlotRelease release, long now) {
        if (release.stopping()) {
            promises.recordShutdown(host, release.incarnation(), now);
        }
        int provenCount = Math.min(release.slots().size(), release.lastHeartbeats().size());
        for (int position = 0; position < provenCount; position++) {
            Acknowledgement lastHeartbeat = release.lastHeartbeats().get(position);
            SlotRelease.ReleasedSlot slot = release.slots().get(position);
            if (lastHeartbeat.incarnation().equals(incarnation)) {
                claims.recordPeerRelease(
                        new SlotKey(slot.backendServer(), slot.index()),
                        lastHeartbeat.sentMilliseconds());
            }
        }
    }

    /** Permanently gives up authority and all slots. */
    void stop() {
        stopping = true;
    }

    /** Marks a slot as released if this host no longer holds it. */
    Optional<FormerHold> markReleased(SlotKey slot) {
        return claims.markReleased(slot, stopping);
    }

    Heartbeat heartbeat(String host, HeartbeatContribution contribution, long now) {
        return new Heartbeat(
                incarnation,
                now,
                viewState.view().version(),
                configurationHistory.configuration().version(),
                promises.acknowledgement(host).stream().toList(),
                promises.suspectedHosts(),
                contribution.allowances(),
                contribution.coordinatedServerCount(),
                contribution.lendableSlots());
    }

    SlotHoldings holdings() {
        return new SlotHoldings(
                hadAuthority ? claims.heldSlots() : Set.of(),
                configurationHistory.configuration().version(),
                viewState.view().version());
    }

    /** Returns a number that changes whenever the holdings may have changed. */
    long holdingsRevision() {
        return holdingsRevision + claims.heldSlotsRevision();
    }

    /** Returns until when the holdings may be used if no further heartbeat arrives. */
    long usableUntil() {
        return usableUntil;
    }

    List<PeerVersions> peerVersions(long now) {
        return viewState.peers().stream()
                .filter(host -> peers.containsKey(host) && peers.get(host).hasSentHeartbeat())
                .map(
                        host -> {
                            PeerState peer = peers.get(host);
                            return new PeerVersions(
                                    host,
                                    peer.viewVersion(),
                                    peer.configurationVersion(),
                                    now - peer.lastHeartbeatAt());
                        })
                .toList();
    }

    ViewState viewState() {
        return viewState;
    }

    Configuration configuration() {
        return configurationHistory.configuration();
    }

    Optional<String> otherOwner(SlotKey slot) {
        return ownership.otherOwner(slot);
    }

    boolean isStopping() {
        return stopping;
    }

    private void monitorPeers(long now) {
        promises.setMonitoredHosts(viewState.peers(), now);
        peers.entrySet().removeIf(peer -> isExpired(peer.getKey(), peer.getValue(), now));
        suspicions.keySet().retainAll(viewState.peers());
        viewState
                .peers()
                .forEach(host -> suspicions.computeIfAbsent(host, any -> new ValidityPeriod()));
    }

    private boolean isExpired(String host, PeerState peer, long now) {
        return !viewState.quorumHosts().contains(host)
                && now - peer.lastHeartbeatAt() > PEER_RETENTION_MILLISECONDS;
    }

    private boolean isAligned(PeerState peer) {
        return peer.viewVersion() == viewState.view().version()
                && peer.configurationVersion() == configurationHistory.configuration().version();
    }

    private long authorityEnd(long now) {
        if (stopping || !viewState.containsSelf()) {
            return DISTANT_PAST_MILLISECONDS;
        }
        return viewState.majorityUntil(
                host -> host.equals(self) ? now + leaseTerm() : acknowledgedUntil(host));
    }

    private long acknowledgedUntil(String host) {
        PeerState peer = peers.get(host);
        return peer == null
                ? DISTANT_PAST_MILLISECONDS
                : peer.acknowledgedMilliseconds() + leaseTerm();
    }

    /**
     * Extends the suspicions. Majorities are computed only for hosts that at least one member
     * suspects.
     */
    private void extendSuspicions(long now) {
        Set<String> suspected = new HashSet<>(promises.suspectedHosts());
        for (PeerState peer : peers.values()) {
            peer.addSuspectedTo(suspected);
        }
        suspicions.forEach(
                (host, suspicion) ->
                        suspicion.extend(
                                suspected.contains(host)
                                        ? suspicionEnd(host)
                                        : DISTANT_PAST_MILLISECONDS,
                                now));
    }

    private long suspicionEnd(String suspect) {
        return viewState.majorityUntil(
                host ->
                        host.equals(self)
                                ? promises.suspectsUntil(suspect)
                                : peerSuspectsUntil(suspect, host));
    }

    private long peerSuspectsUntil(String suspect, String host) {
        PeerState peer = peers.get(host);
        return peer == null ? DISTANT_PAST_MILLISECONDS : peer.suspectsUntil(suspect);
    }

    private long usableEnd() {
        long end = authority.isActive() ? authority.until() : DISTANT_PAST_MILLISECONDS;
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
        ownership.applySuspectedHosts(suspected);
        boolean active = authority.isActive();
        if (hadAuthority && !active) {
            claims.dropAllSlots(heldUntil, latestHeartbeats());
        }
        boolean changed = !ownedSlots.equals(ownership.owned()) || stopping;
        ownedSlots = stopping ? Set.of() : ownership.owned();
        if (changed) {
            claims.retainOwned(ownedSlots, heldUntil, latestHeartbeats());
        }
        if (!hadAuthority && active) {
            claims.startOnAuthority(ownedSlots, now);
        } else if (active && changed) {
            claims.startClaims(ownedSlots, now);
        }
        if (hadAuthority != active) {
            holdingsRevision++;
        }
        hadAuthority = active;
    }

    /**
     * Returns since when no other host can start requests in the claimed slots; empty if one still
     * may.
     */
    private OptionalLong exclusiveSince(SlotClaim claim) {
        if (!options.has(Safeguard.ALIGNMENT)) {
            return OptionalLong.of(claim.startedAt());
        }
        long since = Math.max(claim.startedAt(), viewState.settledAt());
        for (String peer : viewState.peers()) {
            OptionalLong excluded = excludedSince(peer, claim);
            if (excluded.isEmpty()) {
                return OptionalLong.empty();
            }
            since = Math.max(since, excluded.getAsLong());
        }
        return OptionalLong.of(since);
    }

    /**
     * Returns since when a peer acts on the same versions, is suspected by a majority, or counts as
     * stopped.
     */
    private OptionalLong excludedSince(String peer, SlotClaim claim) {
        if (claim.isAligned(peer)) {
            return OptionalLong.of(claim.alignedAt(peer));
        }
        ValidityPeriod suspicion = suspicions.get(peer);
        return suspicion.isActive()
                ? OptionalLong.of(suspicion.since())
                : viewState.stoppedSince(peer);
    }

    private Map<String, Acknowledgement> latestHeartbeats() {
        Map<String, Acknowledgement> acknowledgements = new HashMap<>();
        peers.forEach((host, peer) -> acknowledgements.put(host, peer.latestHeartbeat()));
        return acknowledgements;
    }

    private long leaseTerm() {
        return options.leaseTermMilliseconds();
    }
}
