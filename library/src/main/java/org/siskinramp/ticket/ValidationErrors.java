package org.siskinramp.ticket;

import java.util.ArrayList;
import java.util.List;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Collects the validation errors of a ticket, so that an operator gets all of them at once. */
final class ValidationErrors {

    private static final int MAXIMUM_REPORTED_ERRORS = 50;

    private final List<String> messages = new ArrayList<>();

    void add(String path, String message) {
        messages.add(path + ": " + message);
    }

    void throwIfAny() {
        if (messages.isEmpty()) {
            return;
        }
        String text =
                String.join(
                        "; ",
                        messages.subList(0, Math.min(messages.size(), MAXIMUM_REPORTED_ERRORS)));
        int omittedCount = messages.size() - MAXIMUM_REPORTED_ERRORS;
        throw new ResultException(
                ResultCode.TICKET_INVALID,
                omittedCount > 0 ? text + "; and " + omittedCount + " more" : text);
    }
}
