package org.siskinramp.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.siskinramp.peer.Acknowledgement;
import org.siskinramp.peer.SlotRelease;
import org.siskinramp.slot.SlotHoldings;
import org.siskinramp.slot.SlotKey;

/** Collects the slots that became idle within a short time into one message for each receiver. */
final class ReleaseBatch {

    private final Map<String, List<Released>> byReceiver = new TreeMap<>();

    boolean isEmpty() {
        return byReceiver.isEmpty();
    }

    void add(SlotKey slot, String receiver, Acknowledgement heard) {
        byReceiver
                .computeIfAbsent(receiver, any -> new ArrayList<>())
                .add(new Released(slot, heard));
    }

    /** Passes one message for each receiver on, and starts anew. */
    void drain(
            String incarnation, SlotHoldings versions, BiConsumer<String, SlotRelease> consumer) {
        byReceiver.forEach(
                (receiver, released) ->
                        consumer.accept(receiver, release(incarnation, versions, released)));
        byReceiver.clear();
    }

    private static SlotRelease release(
            String incarnation, SlotHoldings versions, List<Released> released) {
        return new SlotRelease(
                versions.viewVersion(),
                versions.configurationVersion(),
                false,
                released.stream().map(each -> SignOff.released(each.slot)).toList(),
                incarnation,
                released.stream().map(Released::heard).toList());
    }

    private record Released(SlotKey slot, Acknowledgement heard) {}
}
