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

/** Batches the slots that become idle within a short time into one message for each receiver. */
final class ReleaseBatch {

    private final Map<String, List<IdleSlot>> byReceiver = new TreeMap<>();

    boolean isEmpty() {
        return byReceiver.isEmpty();
    }

    void add(SlotKey slot, String receiver, Acknowledgement lastHeartbeat) {
        byReceiver
                .computeIfAbsent(receiver, any -> new ArrayList<>())
                .add(new IdleSlot(slot, lastHeartbeat));
    }

    /** Passes one message for each receiver to a consumer, and empties the batch. */
    void drain(
            String incarnation, SlotHoldings versions, BiConsumer<String, SlotRelease> consumer) {
        byReceiver.forEach(
                (receiver, released) ->
                        consumer.accept(receiver, toMessage(incarnation, versions, released)));
        byReceiver.clear();
    }

    private static SlotRelease toMessage(
            String incarnation, SlotHoldings versions, List<IdleSlot> released) {
        return new SlotRelease(
                versions.viewVersion(),
                versions.configurationVersion(),
                false,
                released.stream().map(each -> ShutdownReleases.toReleasedSlot(each.slot)).toList(),
                incarnation,
                released.stream().map(IdleSlot::lastHeartbeat).toList());
    }

    private record IdleSlot(SlotKey slot, Acknowledgement lastHeartbeat) {}
}
