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

/** Keeps the slots that this host owns: those that it holds and those that it still claims. */
final class Claims {

    private static final long MEMORY_MILLISECONDS = 600_000;

    private final MembershipOptions options;
    private final TimeLimits limits;
    private final Map<SlotKey, Claim> open = new HashMap<>();
    private final Set<SlotKey> held = new HashSet<>();
    private final Map<SlotKey, Hold> former = new HashMap<>();
    private final Set<SlotKey> noted = new HashSet<>();
    private final Map<SlotKey, Long> offers = new HashMap<>();
    private Claim unborn = new Claim(Long.MAX_VALUE);
    private long heldRevision;

    Claims(MembershipOptions options, TimeLimits limits) {
        this.options = options;
        this.limits = limits;
    }

    /** Starts to claim owned slots when authority begins, or takes up those held shortly before. */
    void begin(Set<SlotKey> owned, long now) {
        unborn = new Claim(now);
        Claim claim = new Claim(now);
        for (SlotKey slot : owned) {
            Hold hold = former.get(slot);
            if (hold != null && hold.resumable() && hold.isWithin(shortest(slot), now)) {
                held.add(slot);
                heldRevision++;
            } else {
                open.put(slot, claim);
            }
        }
    }

    /** Gives up all slots because authority ended. */
    void end(long heldUntil, Map<String, Acknowledgement> heard) {
        open.clear();
        held.forEach(slot -> former.put(slot, new Hold(heldUntil, heard, true, false)));
        held.clear();
        heldRevision++;
        unborn = new Claim(Long.MAX_VALUE);
        forgetNoted(Set.of());
    }

    /** Gives up the slots that this host does not own any more. */
    void keepOnly(Set<SlotKey> owned, long heldUntil, Map<String, Acknowledgement> heard) {
        open.keySet().retainAll(owned);
        for (SlotKey slot : Set.copyOf(held)) {
            if (!owned.contains(slot)) {
                held.remove(slot);
                heldRevision++;
                former.put(slot, new Hold(heldUntil, heard, false, false));
            }
        }
        former.replaceAll((slot, hold) -> owned.contains(slot) ? hold : hold.asEnded());
        forgetNoted(owned);
    }

    /** Drops the notes about new slots that others may have noted since as well. */
    private void forgetNoted(Set<SlotKey> kept) {
        for (SlotKey slot : Set.copyOf(noted)) {
            if (!kept.contains(slot)) {
                noted.remove(slot);
                former.remove(slot);
            }
        }
    }

    /** Starts to claim the owned slots that are neither held nor claimed yet. */
    void claim(Set<SlotKey> owned, long now) {
        Claim claim = new Claim(now);
        for (SlotKey slot : owned) {
            if (!held.contains(slot)) {
                open.putIfAbsent(slot, claim);
            }
        }
    }

    /**
     * Notes that a slot did not exist until now, and that nobody else can have used it, if all
     * peers have long acted on the same versions as this host.
     */
    void noteNew(SlotKey slot, OptionalLong unbornClearSince, long now) {
        if (unbornClearSince.isPresent()
                && now >= unbornClearSince.getAsLong() + waitMilliseconds(slot)) {
            former.put(slot, new Hold(now, Map.of(), false, false));
            noted.add(slot);
        }
    }

    /** Notes that another host released a slot which it held when it had heard this host. */
    void offer(SlotKey slot, long heardMilliseconds) {
        offers.merge(slot, heardMilliseconds, Math::max);
    }

    /** Notes that a peer acts on the same versions as this host. */
    void align(String peer, long echoedMilliseconds, long now) {
        unborn.align(peer, echoedMilliseconds, now);
        if (open.isEmpty()) {
            return;
        }
        new HashSet<>(open.values()).forEach(claim -> claim.align(peer, echoedMilliseconds, now));
    }

    /** Takes the claimed slots whose waiting time is over. */
    void acquire(Function<Claim, OptionalLong> clearance, long now) {
        if (open.isEmpty()) {
            return;
        }
        Map<Claim, OptionalLong> clear = new HashMap<>();
        for (Map.Entry<SlotKey, Claim> entry : Map.copyOf(open).entrySet()) {
            OptionalLong since = clear.computeIfAbsent(entry.getValue(), clearance);
            if (since.isPresent() && isFree(entry.getKey(), since.getAsLong(), now)) {
                open.remove(entry.getKey());
                held.add(entry.getKey());
                heldRevision++;
                noted.remove(entry.getKey());
            }
        }
    }

    /** Forgets what is too old to matter. */
    void prune(long now) {
        former.values().removeIf(hold -> now - hold.heldUntil() > MEMORY_MILLISECONDS);
        offers.values().removeIf(heard -> now - heard > MEMORY_MILLISECONDS);
    }

    /** Marks a slot as released, unless this host may still take it up again. */
    Optional<Hold> release(SlotKey slot, boolean stopping) {
        Hold hold = former.get(slot);
        if (hold == null || hold.released() || held.contains(slot)) {
            return Optional.empty();
        }
        if (!stopping && (hold.resumable() || open.containsKey(slot))) {
            return Optional.empty();
        }
        former.put(slot, hold.asReleased());
        return Optional.of(hold);
    }

    Claim unborn() {
        return unborn;
    }

    Set<SlotKey> held() {
        return held;
    }

    /** Returns a number that rises with each change of the held slots. */
    long heldRevision() {
        return heldRevision;
    }

    private boolean isFree(SlotKey slot, long clearSince, long now) {
        if (!options.has(Safeguard.TIME_LIMIT_WAIT) || now >= clearSince + waitMilliseconds(slot)) {
            return true;
        }
        Hold hold = former.get(slot);
        if (hold != null && hold.isWithin(shortest(slot), clearSince)) {
            return true;
        }
        Long offer = offers.get(slot);
        return offer != null
                && (hold == null || offer > hold.heldUntil())
                && clearSince - offer < shortest(slot);
    }

    private long waitMilliseconds(SlotKey slot) {
        return options.waitMilliseconds(limits.longest(slot.backendServer()));
    }

    private long shortest(SlotKey slot) {
        return limits.shortest(slot.backendServer());
    }
}
