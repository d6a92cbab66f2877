package org.siskinramp.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.siskinramp.peer.Acknowledgement;
import org.siskinramp.slot.SlotKey;

/**
 * Tracks the slots that this host owns: those that it holds, and those that it claims but may not
 * use yet.
 */
final class SlotClaims {

    private static final long RETENTION_MILLISECONDS = 600_000;

    private final MembershipOptions options;
    private final TimeLimitHistory timeLimits;
    private final Map<SlotKey, SlotClaim> openClaims = new HashMap<>();
    private final Set<SlotKey> heldSlots = new HashSet<>();
    private final Map<SlotKey, FormerHold> formerHolds = new HashMap<>();
    private final Set<SlotKey> newSlots = new HashSet<>();
    private final Map<SlotKey, Long> peerReleases = new HashMap<>();
    private SlotClaim futureSlotsClaim = new SlotClaim(Long.MAX_VALUE);
    private long heldSlotsRevision;

    SlotClaims(MembershipOptions options, TimeLimitHistory limits) {
        this.options = options;
        this.timeLimits = limits;
    }

    /**
     * Starts to claim the owned slots when this host gains authority, and resumes those that it
     * held until shortly before.
     */
    void startOnAuthority(Set<SlotKey> owned, long now) {
        futureSlotsClaim = new SlotClaim(now);
        SlotClaim claim = new SlotClaim(now);
        for (SlotKey slot : owned) {
            FormerHold hold = formerHolds.get(slot);
            if (hold != null && hold.resumable() && hold.isWithin(shortestTimeLimit(slot), now)) {
                heldSlots.add(slot);
                heldSlotsRevision++;
            } else {
                openClaims.put(slot, claim);
            }
        }
    }

    /** Gives up all slots because this host has lost authority. */
    void dropAllSlots(long heldUntil, Map<String, Acknowledgement> lastHeartbeats) {
        openClaims.clear();
        heldSlots.forEach(
                slot ->
                        formerHolds.put(
                                slot, new FormerHold(heldUntil, lastHeartbeats, true, false)));
        heldSlots.clear();
        heldSlotsRevision++;
        futureSlotsClaim = new SlotClaim(Long.MAX_VALUE);
        removeNewSlotsExcept(Set.of());
    }

    /** Gives up the slots that this host no longer owns. */
    void retainOwned(
            Set<SlotKey> owned, long heldUntil, Map<String, Acknowledgement> lastHeartbeats) {
        openClaims.keySet().retainAll(owned);
        for (SlotKey slot : Set.copyOf(heldSlots)) {
            if (!owned.contains(slot)) {
                heldSlots.remove(slot);
                heldSlotsRevision++;
                formerHolds.put(slot, new FormerHold(heldUntil, lastHeartbeats, false, false));
            }
        }
        formerHolds.replaceAll((slot, hold) -> owned.contains(slot) ? hold : hold.asEnded());
        removeNewSlotsExcept(owned);
    }

    /**
     * Removes the records of new slots except the retained ones, because other hosts may have
     * recorded the same slots as new since.
     */
    private void removeNewSlotsExcept(Set<SlotKey> retained) {
        for (SlotKey slot : Set.copyOf(newSlots)) {
            if (!retained.contains(slot)) {
                newSlots.remove(slot);
                formerHolds.remove(slot);
            }
        }
    }

    /** Starts to claim the owned slots that are neither held nor claimed. */
    void startClaims(Set<SlotKey> owned, long now) {
        SlotClaim claim = new SlotClaim(now);
        for (SlotKey slot : owned) {
            if (!heldSlots.contains(slot)) {
                openClaims.putIfAbsent(slot, claim);
            }
        }
    }

    /**
     * Records that a slot did not exist until now and that no other host can have used it, provided
     * that all peers have acted on the same versions as this host for longer than the time limit.
     * The slot is recorded as if this host had held it until now, so that its claim need not wait
     * for the time limit.
     */
    void recordNewSlot(SlotKey slot, OptionalLong futureSlotsExclusiveSince, long now) {
        if (futureSlotsExclusiveSince.isPresent()
                && now >= futureSlotsExclusiveSince.getAsLong() + claimWaitMilliseconds(slot)) {
            formerHolds.put(slot, new FormerHold(now, Map.of(), false, false));
            newSlots.add(slot);
        }
    }

    /**
     * Records that another host released a slot, which it still held when it received the heartbeat
     * that this host sent at the given time.
     */
    void recordPeerRelease(SlotKey slot, long acknowledgedMilliseconds) {
        peerReleases.merge(slot, acknowledgedMilliseconds, Math::max);
    }

    /** Records that a peer acts on the same versions as this host. */
    void recordAlignment(String peer, long acknowledgedMilliseconds, long now) {
        futureSlotsClaim.recordAlignment(peer, acknowledgedMilliseconds, now);
        if (openClaims.isEmpty()) {
            return;
        }
        new HashSet<>(openClaims.values())
                .forEach(claim -> claim.recordAlignment(peer, acknowledgedMilliseconds, now));
    }

    /** Acquires the claimed slots that no other host can use any longer. */
    void acquireFreeSlots(Function<SlotClaim, OptionalLong> exclusiveSince, long now) {
        if (openClaims.isEmpty()) {
            return;
        }
        Map<SlotClaim, OptionalLong> sinceByClaim = new HashMap<>();
        for (Map.Entry<SlotKey, SlotClaim> entry : Map.copyOf(openClaims).entrySet()) {
            OptionalLong since = sinceByClaim.computeIfAbsent(entry.getValue(), exclusiveSince);
            if (since.isPresent() && isFreeToUse(entry.getKey(), since.getAsLong(), now)) {
                openClaims.remove(entry.getKey());
                heldSlots.add(entry.getKey());
                heldSlotsRevision++;
                newSlots.remove(entry.getKey());
            }
        }
    }

    /** Removes former holds and releases by peers that are older than the retention period. */
    void removeExpired(long now) {
        formerHolds.values().removeIf(hold -> now - hold.heldUntil() > RETENTION_MILLISECONDS);
        peerReleases.values().removeIf(heldAt -> now - heldAt > RETENTION_MILLISECONDS);
    }

    /** Marks a slot as released, unless this host may still resume its use. */
    Optional<FormerHold> markReleased(SlotKey slot, boolean stopping) {
        FormerHold hold = formerHolds.get(slot);
        if (hold == null || hold.released() || heldSlots.contains(slot)) {
            return Optional.empty();
        }
        if (!stopping && (hold.resumable() || openClaims.containsKey(slot))) {
            return Optional.empty();
        }
        formerHolds.put(slot, hold.asReleased());
        return Optional.of(hold);
    }

    /**
     * Returns the claim that records, since the start of authority, the alignment of the peers for
     * slots that are yet to be configured.
     */
    SlotClaim futureSlotsClaim() {
        return futureSlotsClaim;
    }

    Set<SlotKey> heldSlots() {
        return heldSlots;
    }

    /** Returns a number that increases with each change of the held slots. */
    long heldSlotsRevision() {
        return heldSlotsRevision;
    }

    private boolean isFreeToUse(SlotKey slot, long exclusiveSince, long now) {
        if (!options.has(Safeguard.TIME_LIMIT_WAIT)
                || now >= exclusiveSince + claimWaitMilliseconds(slot)) {
            return true;
        }
        FormerHold hold = formerHolds.get(slot);
        if (hold != null && hold.isWithin(shortestTimeLimit(slot), exclusiveSince)) {
            return true;
        }
        Long heldByPeerAt = peerReleases.get(slot);
        return heldByPeerAt != null
                && (hold == null || heldByPeerAt > hold.heldUntil())
                && exclusiveSince - heldByPeerAt < shortestTimeLimit(slot);
    }

    private long claimWaitMilliseconds(SlotKey slot) {
        return options.claimWaitMilliseconds(timeLimits.longest(slot.backendServer()));
    }

    private long shortestTimeLimit(SlotKey slot) {
        return timeLimits.shortest(slot.backendServer());
    }
}
