package org.siskinramp.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.peer.FeedNews;

/**
 * Puts the parts of a long list together. A list of which a part went missing is dropped, since
 * servers that are not in a whole list are taken as gone. It is guarded by the lock of its owner.
 */
final class NewsParts {

    private final List<ServerEntry> entries = new ArrayList<>();
    private long version;
    private int next;

    /** Adds a message; returns all entries once the list is complete. */
    Optional<List<ServerEntry>> add(FeedNews news) {
        if (news.part() == 0) {
            clear();
            version = news.version();
        }
        if (news.part() != next || news.version() != version) {
            clear();
            return Optional.empty();
        }
        entries.addAll(news.servers());
        next++;
        if (news.more()) {
            return Optional.empty();
        }
        List<ServerEntry> complete = List.copyOf(entries);
        clear();
        return Optional.of(complete);
    }

    void clear() {
        entries.clear();
        next = 0;
    }
}
