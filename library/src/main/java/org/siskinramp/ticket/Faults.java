package org.siskinramp.ticket;

import java.util.ArrayList;
import java.util.List;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Collects the faults of a ticket, so that an operator is told all of them at once. */
final class Faults {

    private static final int LONGEST_LIST = 50;

    private final List<String> faults = new ArrayList<>();

    void add(String path, String allowed) {
        faults.add(path + ": " + allowed);
    }

    void throwIfAny() {
        if (faults.isEmpty()) {
            return;
        }
        String text = String.join("; ", faults.subList(0, Math.min(faults.size(), LONGEST_LIST)));
        int unnamed = faults.size() - LONGEST_LIST;
        throw new ResultException(
                ResultCode.TICKET_INVALID,
                unnamed > 0 ? text + "; and " + unnamed + " more" : text);
    }
}
